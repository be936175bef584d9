package declare

import "github.com/go-faster/errors"

// ErrNoObject is returned when the set has no object of the given name.
var ErrNoObject = errors.New("no such object")

// SetDataCentreOut takes a data centre out of service or puts it back. It
// replaces the object, so that other sets that share the object do not change.
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

// SetBackendServerLeaving marks a backend server as leaving or removes the mark.
// It replaces the object, so that other sets that share the object do not change.
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
