// Package settings holds value types and checks for flags and environment
// variables. A value type stores its parse error instead of returning the error,
// so that a command can report all invalid settings together.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// Problem is the error of an invalid or missing setting.
type Problem struct {
	// Name is the name of the flag with its leading dashes, or of the setting.
	Name string
	// Value is the given value; empty if the setting is missing.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error returns the name, the value and the allowed values as text.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s is missing: want %s", p.Name, p.Allowed)
	}
	return fmt.Sprintf("%s=%q: want %s", p.Name, p.Value, p.Allowed)
}

// Problems collects the errors of a set of settings.
type Problems []error

// Add appends err unless it is nil.
func (p *Problems) Add(err error) {
	if err != nil {
		*p = append(*p, err)
	}
}

// Err returns one error that has a line for each collected error, or nil if no
// error was collected.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	lines := make([]string, len(p))
	for i, err := range p {
		lines[i] = err.Error()
	}
	return errors.New("wrong settings:\n  " + strings.Join(lines, "\n  "))
}

// Int is an integer setting.
type Int struct {
	raw   string
	value int
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler. It always returns nil; Check
// reports a parse error.
func (v *Int) UnmarshalText(text []byte) error {
	v.raw = string(text)
	v.value, v.err = strconv.Atoi(v.raw)
	return nil
}

// Value returns the parsed number.
func (v Int) Value() int { return v.value }

// Check returns a Problem for the setting name unless the number was parsed and
// lies between low and high, both included.
func (v Int) Check(name string, low, high int) error {
	if v.err != nil || v.value < low || v.value > high {
		return Problem{Name: name, Value: v.raw, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high)}
	}
	return nil
}

// Duration is a duration setting such as 500ms or 5s.
type Duration struct {
	raw   string
	value time.Duration
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler. It always returns nil; Check
// reports a parse error.
func (v *Duration) UnmarshalText(text []byte) error {
	v.raw = string(text)
	v.value, v.err = time.ParseDuration(v.raw)
	return nil
}

// Value returns the parsed duration.
func (v Duration) Value() time.Duration { return v.value }

// Check returns a Problem for the setting name unless the duration was parsed and
// lies between low and high, both included.
func (v Duration) Check(name string, low, high time.Duration) error {
	if v.err != nil || v.value < low || v.value > high {
		return Problem{Name: name, Value: v.raw, Allowed: fmt.Sprintf("a duration from %s to %s", low, high)}
	}
	return nil
}

// CheckAddr returns a Problem for the setting name unless addr is "ip:port" with
// an IP address and a port that is not 0.
func CheckAddr(name, addr string) error {
	allowed := "an IP address and a port, such as 127.0.0.1:7000"
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return Problem{Name: name, Value: addr, Allowed: allowed}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return Problem{Name: name, Value: addr, Allowed: allowed}
	}
	return nil
}

// CheckName returns a Problem for the setting name unless value consists of 1 to
// 63 letters, digits, dots, dashes and underscores.
func CheckName(name, value string) error {
	const allowed = "a name of 1 to 63 letters, digits, '.', '-' or '_'"
	valid := len(value) > 0 && len(value) <= 63
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		valid = valid && (letter || digit || strings.ContainsRune(".-_", r))
	}
	if !valid {
		return Problem{Name: name, Value: value, Allowed: allowed}
	}
	return nil
}

// minTokenBytes is the minimum length of a secret token.
const minTokenBytes = 8

// CheckToken returns a Problem for the setting name unless value is at least
// minTokenBytes long. The Problem does not contain the secret.
func CheckToken(name, value string) error {
	if len(value) >= minTokenBytes {
		return nil
	}
	shown := ""
	if value != "" {
		shown = "(hidden)"
	}
	return Problem{Name: name, Value: shown, Allowed: "a secret of at least 8 characters"}
}

// ParseSeed returns the entry instance that text describes in the form
// "ID@IP:PORT/DATACENTRE/REGION", or a Problem for the setting name. A seed is an
// entry instance that is used until the list of instances has been read.
func ParseSeed(name, text string) (core.Instance, error) {
	invalid := Problem{Name: name, Value: text, Allowed: "ID@IP:PORT/DATACENTRE/REGION"}
	id, rest, ok := strings.Cut(text, "@")
	if !ok {
		return core.Instance{}, invalid
	}
	parts := strings.Split(rest, "/")
	if len(parts) != 3 {
		return core.Instance{}, invalid
	}
	in := core.Instance{ID: id, Role: core.RoleEntry, Addr: parts[0], DataCentre: parts[1], Region: parts[2]}
	if CheckAddr(name, in.Addr) != nil || CheckName(name, id) != nil || in.DataCentre == "" || in.Region == "" {
		return core.Instance{}, invalid
	}
	return in, nil
}
