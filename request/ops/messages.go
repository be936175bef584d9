// Package ops implements the operator API of an entry instance, server and
// client: operators plan, apply and revert configuration changes, take data
// centres and backend servers out of service, and read the history and status.
package ops

import (
	"fmt"
	"strings"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

// ChangeMetadata describes who makes a change and why.
type ChangeMetadata struct {
	// Author is the person who makes the change. If a name is configured for the
	// operator's token, that name is recorded instead.
	Author string `json:"author,omitempty"`
	// Reason is the author's reason for the change.
	Reason string `json:"reason"`
	// ChangeID identifies the change, so that a retry does not apply it twice.
	ChangeID string `json:"changeId"`
}

// ApplyRequest is the request to replace the configuration in force with a
// complete set of declarations.
type ApplyRequest struct {
	ChangeMetadata
	// Base is the number of the version that the change is based on; required.
	Base *uint64 `json:"base"`
	// Files hold the declarations.
	Files []declare.File `json:"files"`
}

// RevertRequest is the request to create a new version with the content of an old
// version.
type RevertRequest struct {
	ChangeMetadata
	// Base is the number of the version that the change is based on; nil
	// means the newest version.
	Base *uint64 `json:"base,omitempty"`
	// Number is the number of the old version.
	Number uint64 `json:"number"`
}

// PlanRequest is the request for a preview of the changes that a set of
// declarations would make.
type PlanRequest struct {
	// Files hold the declarations.
	Files []declare.File `json:"files"`
}

// PlanResponse lists the changes that a set of declarations would make.
type PlanResponse struct {
	// Base is the number of the version that the declarations are compared
	// with.
	Base uint64 `json:"base"`
	// Changes are the differences from that version.
	Changes []declare.Change `json:"changes"`
	// Effects describe the consequences of the changes, one line each.
	Effects []string `json:"effects"`
}

// ChangeResponse is the response to a change that is in force.
type ChangeResponse struct {
	// Number is the number of the version in force.
	Number uint64 `json:"number"`
	// Digest is the digest of the version's content.
	Digest core.Digest `json:"digest"`
	// Unchanged is true if the change made no difference; no new version was
	// created then.
	Unchanged bool `json:"unchanged,omitempty"`
}

// HistoryResponse lists accepted versions, the newest first.
type HistoryResponse struct {
	// Entries are the versions.
	Entries []confstore.HistoryEntry `json:"entries"`
}

// Status is the status of an entry instance and of the backend servers that are
// registered at this entry instance.
type Status struct {
	// Instance is the entry instance.
	Instance core.Instance `json:"instance"`
	// Config is the number of the configuration version in force.
	Config uint64 `json:"config"`
	// Digest is the digest of that configuration.
	Digest core.Digest `json:"digest"`
	// ConfirmedMillis is the time since the configuration was last confirmed
	// to be the newest, in milliseconds; -1 if it never was.
	ConfirmedMillis int64 `json:"confirmedMillis"`
	// Servers are the registered backend servers, sorted by name.
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the status of one backend server.
type ServerStatus struct {
	// Name is the server's name.
	Name string `json:"name"`
	// DataCentre is the data centre of the server.
	DataCentre string `json:"dataCentre"`
	// Service is the name of the plain service that the server runs; empty for
	// a model engine.
	Service string `json:"service,omitempty"`
	// State is the state that the server's agent reports.
	State frame.State `json:"state"`
	// Suspect is true if the agent's reports are overdue.
	Suspect bool `json:"suspect,omitempty"`
	// InFlight is the number of calls in flight.
	InFlight int `json:"inFlight"`
	// Limit is the current maximum number of concurrent calls.
	Limit int `json:"limit"`
	// Config is the number of the configuration version in force at the agent.
	Config uint64 `json:"config"`
	// Loaded lists the model versions that the server's engine reports as
	// loaded, each as "MODEL VERSION DIGEST" with a shortened digest.
	Loaded []string `json:"loaded,omitempty"`
}

// Problem is an RFC 9457 problem document.
type Problem struct {
	// Type is one of the Type constants.
	Type string `json:"type"`
	// Title is a short summary of the problem type.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is the cause of the problem in this case.
	Detail string `json:"detail"`
	// Problems are the faults found in the declarations.
	Problems []declare.Problem `json:"problems,omitempty"`
	// Winner is set for a conflict: the version that was accepted first.
	Winner *confstore.HistoryEntry `json:"winner,omitempty"`
	// InForce is set for a conflict: the number of the newest version.
	InForce uint64 `json:"inForce,omitempty"`
	// Changes is set for a conflict: the differences between the base and the
	// newest version.
	Changes []declare.Change `json:"changes,omitempty"`
}

// The types of problem documents.
const (
	TypeBadRequest          = "urn:rattanway:bad-request"
	TypeWrongToken          = "urn:rattanway:wrong-token"
	TypeInvalidDeclarations = "urn:rattanway:invalid-declarations"
	TypeConflict            = "urn:rattanway:conflict"
	TypeChangeIDUsed        = "urn:rattanway:change-id-used"
	TypeNotFound            = "urn:rattanway:not-found"
	TypePlatformUnavailable = "urn:rattanway:platform-unavailable"
	TypeOutcomeUnknown      = "urn:rattanway:outcome-unknown"
	TypeRecordDamaged       = "urn:rattanway:record-damaged"
	TypeInternal            = "urn:rattanway:internal"
	problemMediaType        = "application/problem+json"
)

// Error implements error. The text has one line for the problem itself, one
// line for each fault in the declarations, and one line for each change.
func (p *Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%d): %s", p.Title, p.Status, p.Detail)
	for _, problem := range p.Problems {
		b.WriteString("\n  " + problem.String())
	}
	for _, change := range p.Changes {
		b.WriteString("\n  " + change.String())
	}
	return b.String()
}
