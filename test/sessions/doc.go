// Package sessions runs end-to-end sessions: each txtar script under testdata
// starts the real processes and checks the output and responses that operators
// and client accounts get.
package sessions
