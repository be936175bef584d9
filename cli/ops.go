package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/request/ops"
)

// operatorFlags holds the entry instance that an operator's command calls and
// the operator's token.
type operatorFlags struct {
	Entry string `help:"Entry instance to call, ip:port." required:"" env:"RATTANWAY_ENTRY"`
	Token string `help:"Operator's token." required:"" env:"RATTANWAY_OPERATOR_TOKEN"`
}

// client validates the flags and returns a client for the entry instance.
func (f operatorFlags) client() (*ops.Client, error) {
	var problems settings.Problems
	problems.Add(settings.CheckAddr("--entry", f.Entry))
	problems.Add(settings.CheckToken("--token", f.Token))
	if err := problems.Err(); err != nil {
		return nil, usageError{err}
	}
	return ops.NewClient(f.Entry, f.Token), nil
}

// changeMetadataFlags holds who makes a change, why, and the change id.
type changeMetadataFlags struct {
	Author   string `help:"Who makes the change; default is the name of the current user." env:"RATTANWAY_AUTHOR"`
	Reason   string `help:"Why the change is made." required:""`
	ChangeID string `help:"Identifies the change: a retry of the command with the same id has no further effect. Default is a new id, which is printed."`
}

// changeMetadata returns the metadata of the change. Without --change-id it
// generates a new id; without --author the author is the current user.
func (f changeMetadataFlags) changeMetadata() ops.ChangeMetadata {
	metadata := ops.ChangeMetadata{Author: f.Author, Reason: f.Reason, ChangeID: f.ChangeID}
	if metadata.ChangeID == "" {
		metadata.ChangeID = uuid.NewString()
	}
	if metadata.Author == "" {
		metadata.Author = userName()
	}
	return metadata
}

// userName returns the name of the current user, or "" if it is unknown.
func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return os.Getenv("USER")
}

// usageError reports an invalid setting or argument. The process exits with
// ExitUsage.
type usageError struct{ error }

// ExitCode returns the exit code of the process.
func (usageError) ExitCode() int { return ExitUsage }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// conflictError reports that a change is based on a version that is no longer
// the newest. The process exits with ExitConflict.
type conflictError struct{ error }

// ExitCode returns the exit code of the process.
func (conflictError) ExitCode() int { return ExitConflict }

// Unwrap returns the wrapped error.
func (e conflictError) Unwrap() error { return e.error }

// changeError converts the error of a change request to the error of the command.
// A conflict gets its own exit code. If the outcome of the change is unknown, the
// message contains flags: a retry of the command with these flags does not make the
// change a second time.
func changeError(flags string, err error) error {
	if err == nil {
		return nil
	}
	var problem *ops.Problem
	if !errors.As(err, &problem) {
		return errors.Wrapf(err, "no response received; repeat the command with %s", flags)
	}
	switch problem.Type {
	case ops.TypeConflict:
		return conflictError{err}
	case ops.TypeOutcomeUnknown:
		return errors.Wrapf(err, "repeat the command with %s", flags)
	default:
		return err
	}
}

// retryFlags returns the flags with which a retry of the command applies the same
// change.
func retryFlags(metadata ops.ChangeMetadata, base *uint64) string {
	if base == nil {
		return "--change-id " + metadata.ChangeID
	}
	return fmt.Sprintf("--change-id %s --base %d", metadata.ChangeID, *base)
}

// printChange prints the version that a change resulted in.
func printChange(s *streams, metadata ops.ChangeMetadata, response ops.ChangeResponse) error {
	if response.Unchanged {
		_, err := fmt.Fprintf(s.Out, "nothing to change: version %d (%s) is in force\n", response.Number, response.Digest.Short())
		return err
	}
	_, err := fmt.Fprintf(s.Out, "accepted as version %d (%s), change id %s\n", response.Number, response.Digest.Short(), metadata.ChangeID)
	return err
}

// commandContext returns the context of the operators' commands. It has no
// deadline because the client bounds each call.
func commandContext() context.Context { return context.Background() }
