// Package intake limits what clients make a process hold. All request bodies and large heads
// of a process draw on one [Budget], as their bytes arrive, until their requests end. When the
// budget is used up, unfinished bodies without progress are ended, and new ones refused.
// docs/design/intake.md describes the decisions and lists all readers of bytes.
package intake
