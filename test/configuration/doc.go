// Package configuration tests the distribution of the configuration with real
// processes: how soon an accepted change is in force everywhere, and that it is
// never lost or undone by kills, freezes and outages of the platform.
package configuration
