package declare

import "github.com/go-faster/errors"

// ErrNoObject is returned when the set has no object of the given name.
var ErrNoObject = errors.New("no such object")

// SetDataCentreOut takes a data centre out of service if out is true, and
// otherwise puts it back into service. It replaces the DataCentre object, so that
// other sets that share the object do not change.
func (s *Set) SetDataCentreOut(name string, out bool) error {
	old, ok := s.DataCentres[name]
	if !ok {
		return errors.Wrap(ErrNoObject, Ref{Kind: KindDataCentre, Name: shorten(name)}.String())
	}
	changed := *old
	changed.Out = out
	s.DataCentres[name] = &changed
	return nil
}

// SetBackendServerLeaving sets the Leaving field of a backend server. It replaces
// the BackendServer object, so that other sets that share the object do not
// change.
func (s *Set) SetBackendServerLeaving(name string, leaving bool) error {
	old, ok := s.BackendServers[name]
	if !ok {
		return errors.Wrap(ErrNoObject, Ref{Kind: KindBackendServer, Name: shorten(name)}.String())
	}
	changed := *old
	changed.Leaving = leaving
	s.BackendServers[name] = &changed
	return nil
}
