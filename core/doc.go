// Package core holds identifiers, small value types and helper functions that
// the other packages share. It imports no other package of this module.
package core
