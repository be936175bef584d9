package declare

import (
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// delta is the difference between two sets. It has the objects that are added or
// replaced, and, for each kind, the names of the removed objects. Empty maps are
// left out, so that a small change has a small encoding.
type delta struct {
	Put    deltaSet          `cbor:"1,keyasint"`
	Remove map[Kind][]string `cbor:"2,keyasint,omitempty"`
}

// deltaSet is a Set whose empty maps are not encoded.
type deltaSet struct {
	Regions        map[string]*Region        `cbor:"1,keyasint,omitempty"`
	DataCentres    map[string]*DataCentre    `cbor:"2,keyasint,omitempty"`
	Models         map[string]*Model         `cbor:"3,keyasint,omitempty"`
	Versions       map[string]*Version       `cbor:"4,keyasint,omitempty"`
	BackendServers map[string]*BackendServer `cbor:"5,keyasint,omitempty"`
	ClientAccounts map[string]*ClientAccount `cbor:"6,keyasint,omitempty"`
	Services       map[string]*Service       `cbor:"7,keyasint,omitempty"`
}

// EncodeDelta returns the encoded delta from old to new.
func EncodeDelta(old, new *Set) ([]byte, error) {
	put := NewSet()
	remove := map[Kind][]string{}
	for _, change := range Diff(old, new) {
		c, _ := collectionFor(change.Kind)
		if change.Action == ActionRemove {
			remove[change.Kind] = append(remove[change.Kind], change.Name)
			continue
		}
		c.put(put, change.Name, c.get(new, change.Name))
	}
	body, err := encMode.Marshal(delta{Put: deltaSet(*put), Remove: remove})
	if err != nil {
		return nil, errors.Wrap(err, "encode difference")
	}
	return body, nil
}

// ApplyDelta applies an encoded delta to old and returns the resulting set, without
// changing old. It returns ErrDigestMismatch if the digest of the result differs
// from expected.
func ApplyDelta(old *Set, body []byte, expected core.Digest) (*Set, error) {
	if len(body) > MaxEncodedBytes {
		return nil, errors.Errorf("apply difference: %d bytes, more than %d", len(body), MaxEncodedBytes)
	}
	var d delta
	if err := decMode.Unmarshal(body, &d); err != nil {
		return nil, errors.Wrap(err, "apply difference")
	}
	put := Set(d.Put)
	if err := checkMapKeys(&put); err != nil {
		return nil, err
	}
	set := old.Clone()
	for _, c := range collections {
		for _, name := range d.Remove[c.kind] {
			c.remove(set, name)
		}
		for _, name := range c.names(&put) {
			c.put(set, name, c.get(&put, name))
		}
	}
	_, got, err := Encode(set)
	if err != nil {
		return nil, err
	}
	if got != expected {
		return nil, errors.Wrapf(ErrDigestMismatch, "apply difference: got %s, want %s", got.Short(), expected.Short())
	}
	return set, nil
}
