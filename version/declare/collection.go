package declare

import "sort"

// Kind is a kind of object, as written in the field "kind" of a document.
type Kind string

// The kinds of objects.
const (
	KindRegion        Kind = "Region"
	KindDataCentre    Kind = "DataCentre"
	KindModel         Kind = "Model"
	KindVersion       Kind = "Version"
	KindBackendServer Kind = "BackendServer"
	KindClientAccount Kind = "ClientAccount"
	KindService       Kind = "Service"
)

// Ref identifies one object.
type Ref struct {
	// Kind is the object's kind.
	Kind Kind `json:"kind"`
	// Name is the object's name.
	Name string `json:"name"`
}

// String returns the kind and the name, separated by a space.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// collection gives access to the objects of one kind in a set, so that parsing,
// comparing and encoding are written once for all kinds.
type collection struct {
	kind Kind
	// names returns the sorted names of the objects in a set.
	names func(*Set) []string
	// get returns a pointer to the struct of the named object, or nil if the
	// set has no such object.
	get func(*Set, string) any
	// put adds or replaces an object.
	put func(*Set, string, any)
	// remove deletes an object from a set.
	remove func(*Set, string)
	// newObject returns a pointer to a new zero object.
	newObject func() any
}

// collectionOf returns the collection of a kind. field returns a pointer to the
// map of a set in which the objects of the kind are stored.
func collectionOf[T any](kind Kind, field func(*Set) *map[string]*T) collection {
	return collection{
		kind: kind,
		names: func(s *Set) []string {
			return sortedNames(*field(s))
		},
		get: func(s *Set, name string) any {
			if object, ok := (*field(s))[name]; ok {
				return object
			}
			return nil
		},
		put: func(s *Set, name string, object any) {
			objects := field(s)
			if *objects == nil {
				*objects = map[string]*T{}
			}
			(*objects)[name] = object.(*T)
		},
		remove:    func(s *Set, name string) { delete(*field(s), name) },
		newObject: func() any { return new(T) },
	}
}

// collections lists the collections of all kinds, in the order in which EncodeYAML
// writes them.
var collections = []collection{
	collectionOf(KindRegion, func(s *Set) *map[string]*Region { return &s.Regions }),
	collectionOf(KindDataCentre, func(s *Set) *map[string]*DataCentre { return &s.DataCentres }),
	collectionOf(KindModel, func(s *Set) *map[string]*Model { return &s.Models }),
	collectionOf(KindVersion, func(s *Set) *map[string]*Version { return &s.Versions }),
	collectionOf(KindBackendServer, func(s *Set) *map[string]*BackendServer { return &s.BackendServers }),
	collectionOf(KindClientAccount, func(s *Set) *map[string]*ClientAccount { return &s.ClientAccounts }),
	collectionOf(KindService, func(s *Set) *map[string]*Service { return &s.Services }),
}

// collectionFor returns the collection of a kind, and whether the kind exists.
func collectionFor(kind Kind) (collection, bool) {
	for _, c := range collections {
		if c.kind == kind {
			return c, true
		}
	}
	return collection{}, false
}

// sortedNames returns the keys of m in ascending order.
func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Clone returns a copy of s that has its own maps but shares the objects with s.
func (s *Set) Clone() *Set {
	copied := NewSet()
	for _, c := range collections {
		for _, name := range c.names(s) {
			c.put(copied, name, c.get(s, name))
		}
	}
	return copied
}

// Len returns the number of objects in the set.
func (s *Set) Len() int {
	count := 0
	for _, c := range collections {
		count += len(c.names(s))
	}
	return count
}
