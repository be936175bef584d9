package loading

import (
	"slices"

	"github.com/rattanway/rattanway/process/eventlog"
)

// neededVersions returns those of the pending versions, oldest first, that the agent
// fetches or keeps. The others will never be loaded: the newest fetched version is loaded
// before any older one, and of the versions that have not arrived, only the newest is
// fetched. A fetch in progress goes on until it is complete, or else a version every few
// seconds would keep the agent from completing any; if there are several, the oldest one
// does.
func neededVersions(pending []WantedVersion, fetched, fetching func(WantedVersion) bool) []WantedVersion {
	var needed []WantedVersion
	for i := len(pending) - 1; i >= 0; i-- {
		if fetched(pending[i]) {
			needed, pending = append(needed, pending[i]), pending[i+1:]
			break
		}
	}
	if len(pending) == 0 {
		return needed
	}
	if i := slices.IndexFunc(pending, fetching); i >= 0 && i < len(pending)-1 {
		needed = append(needed, pending[i])
	}
	return append(needed, pending[len(pending)-1])
}

// neededVersions applies the function of the same name to the versions in the store and
// the fetches in progress. The caller holds l.mu.
func (l *Loader) neededVersions(pending []WantedVersion) []WantedVersion {
	return neededVersions(pending,
		func(w WantedVersion) bool { return l.fetched[versionKey{w.Model, w.Version}] },
		func(w WantedVersion) bool { return l.fetching[versionKey{w.Model, w.Version}] != nil })
}

// cancelFetches ends the fetches of the versions of a model that are newer than
// heldVersion and not needed. The caller holds l.mu.
func (l *Loader) cancelFetches(model string, heldVersion int, needed []WantedVersion) {
	for k, cancel := range l.fetching {
		if k.model == model && k.version > heldVersion && !containsVersion(needed, k.version) {
			l.cfg.Log.Event(eventSuperseded, eventlog.Fields{"model": model, "version": k.version})
			cancel()
		}
	}
}

func containsVersion(versions []WantedVersion, version int) bool {
	return slices.ContainsFunc(versions, func(w WantedVersion) bool { return w.Version == version })
}
