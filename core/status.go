package core

import "github.com/go-faster/errors"

// The statuses of responses to requests; smaller ones are interim responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckFinalStatus returns an error if an HTTP status is not one of a final response: 200 to
// 599. A response with another status says nothing, whatever else it contains.
func CheckFinalStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return errors.Errorf("invalid status %03d", status)
	}
	return nil
}

// CheckStatus is CheckFinalStatus for a response that may be an interim one, with a status
// from 100 on.
func CheckStatus(status int) error {
	if status >= 100 && status < minFinalStatus {
		return nil
	}
	return CheckFinalStatus(status)
}
