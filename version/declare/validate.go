package declare

import (
	"fmt"
	"strings"

	"github.com/rattanway/rattanway/core"
)

// maxPriority is the highest priority of a call.
const maxPriority = 9

// validator checks one set and collects the problems of the set.
type validator struct {
	set      *Set
	problems []Problem
}

// Validate checks a complete set, including the references between objects. It
// returns at most MaxProblems problems.
func Validate(s *Set) []Problem {
	v := &validator{set: s}
	v.checkNames()
	v.checkRegions()
	v.checkDataCentres()
	v.checkModels()
	v.checkVersions()
	v.checkBackendServers()
	v.checkClientAccounts()
	v.checkServices()
	v.checkCapacity()
	if len(v.problems) > MaxProblems {
		return v.problems[:MaxProblems]
	}
	return v.problems
}

// ValidateChange returns the problems of Validate(new). It also returns a problem
// for each model in both sets whose version in old is not declared in new:
// servers use the previous version of a model until they have loaded the next.
func ValidateChange(old, new *Set) []Problem {
	problems := Validate(new)
	for _, name := range sortedNames(old.Models) {
		model := old.Models[name]
		if new.Models[name] == nil || new.Versions[model.Version] != nil {
			continue
		}
		problems = append(problems, Problem{
			Kind:    KindVersion,
			Name:    model.Version,
			Field:   "name",
			Message: fmt.Sprintf("removed while Model %q still answers from it; switch the model first and remove the version in a later change", name),
		})
	}
	return problems
}

// addProblem adds a problem with a field of an object.
func (v *validator) addProblem(kind Kind, name, field, format string, args ...any) {
	v.problems = append(v.problems, Problem{Kind: kind, Name: name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// checkReference checks the field of an object whose value targetName must be the
// name of an object of targetKind. If there is no such object, it adds a problem.
// It reports whether the reference is valid.
func (v *validator) checkReference(kind Kind, name, field string, targetKind Kind, targetName string) bool {
	if targetName == "" {
		v.addProblem(kind, name, field, "missing; want the name of a %s", targetKind)
		return false
	}
	c, _ := collectionFor(targetKind)
	if c.get(v.set, targetName) != nil {
		return true
	}
	v.addProblem(kind, name, field, "there is no %s %q", targetKind, shorten(targetName))
	return false
}

// checkMinimum adds a problem if the value of a field is less than minimum.
func (v *validator) checkMinimum(kind Kind, name, field string, got, minimum int64) {
	if got < minimum {
		v.addProblem(kind, name, field, "want %d or more, got %d", minimum, got)
	}
}

// checkDigest adds a problem if the value of a field is not a well-formed digest.
func (v *validator) checkDigest(kind Kind, name, field string, d core.Digest) {
	if _, err := core.ParseDigest(string(d)); err != nil {
		v.addProblem(kind, name, field, "%s", shorten(err.Error()))
	}
}

// checkNames checks that the name of each object is well-formed.
func (v *validator) checkNames() {
	for _, c := range collections {
		for _, name := range c.names(v.set) {
			if message := nameProblem(name); message != "" {
				v.addProblem(c.kind, shorten(name), "name", "%s", message)
			}
		}
	}
}

// checkRegions checks the link bandwidth of each region.
func (v *validator) checkRegions() {
	for _, name := range sortedNames(v.set.Regions) {
		v.checkMinimum(KindRegion, name, "linkBytesPerSecond", v.set.Regions[name].LinkBytesPerSecond, 0)
	}
}

// checkDataCentres checks that the region of each data centre is declared.
func (v *validator) checkDataCentres() {
	for _, name := range sortedNames(v.set.DataCentres) {
		v.checkReference(KindDataCentre, name, "region", KindRegion, v.set.DataCentres[name].Region)
	}
}

// checkModels checks the version, the number of replicas and the data centres of each
// model.
func (v *validator) checkModels() {
	for _, name := range sortedNames(v.set.Models) {
		m := v.set.Models[name]
		if v.checkReference(KindModel, name, "version", KindVersion, m.Version) {
			v.checkOwnVersion(m)
		}
		v.checkMinimum(KindModel, name, "replicas", int64(m.Replicas), 1)
		v.checkModelDataCentres(m)
	}
}

// checkOwnVersion adds a problem if the declared version of model m belongs to another
// model.
func (v *validator) checkOwnVersion(m *Model) {
	version := v.set.Versions[m.Version]
	if version.Model != m.Name {
		v.addProblem(KindModel, m.Name, "version", "Version %q belongs to Model %q", m.Version, shorten(version.Model))
	}
}

// checkModelDataCentres checks the list of data centres of a model. At least one
// of the data centres that may hold the model must be in service.
func (v *validator) checkModelDataCentres(m *Model) {
	seen := map[string]bool{}
	for i, name := range m.DataCentres {
		if seen[name] {
			v.addProblem(KindModel, m.Name, "dataCentres", "%q stands twice", shorten(name))
		}
		seen[name] = true
		v.checkReference(KindModel, m.Name, fmt.Sprintf("dataCentres[%d]", i), KindDataCentre, name)
	}
	inService, outOfService := v.allowedDataCentres(m)
	if len(inService) == 0 && len(outOfService) > 0 {
		v.addProblem(KindModel, m.Name, "dataCentres", "every data centre that may hold the model is out: %s", strings.Join(outOfService, ", "))
	}
}

// allowedDataCentres returns the names of the data centres that may hold a model,
// in two lists: those in service and those taken out of service.
func (v *validator) allowedDataCentres(m *Model) (inService, outOfService []string) {
	for _, name := range sortedNames(v.set.DataCentres) {
		if !m.AllowsDataCentre(name) {
			continue
		}
		if v.set.DataCentres[name].Out {
			outOfService = append(outOfService, name)
			continue
		}
		inService = append(inService, name)
	}
	return inService, outOfService
}

// AllowsDataCentre reports whether replicas of the model may be placed in the data
// centre.
func (m *Model) AllowsDataCentre(dataCentre string) bool {
	if len(m.DataCentres) == 0 {
		return true
	}
	for _, name := range m.DataCentres {
		if name == dataCentre {
			return true
		}
	}
	return false
}

// checkVersions checks the model, the manifest digest and the base of each version.
func (v *validator) checkVersions() {
	for _, name := range sortedNames(v.set.Versions) {
		version := v.set.Versions[name]
		v.checkReference(KindVersion, name, "model", KindModel, version.Model)
		v.checkDigest(KindVersion, name, "manifest", version.Manifest)
		if version.Base != "" && v.checkReference(KindVersion, name, "base", KindVersion, version.Base) {
			v.checkBaseCycle(version)
		}
	}
}

// checkBaseCycle adds a problem if the chain of bases that begins with start leads
// back to start.
func (v *validator) checkBaseCycle(start *Version) {
	path := []string{start.Name}
	seen := map[string]bool{start.Name: true}
	current := start
	for current.Base != "" {
		path = append(path, current.Base)
		if current.Base == start.Name {
			v.addProblem(KindVersion, start.Name, "base", "circular: %s", strings.Join(path, " -> "))
			return
		}
		next := v.set.Versions[current.Base]
		if next == nil || seen[next.Name] {
			return
		}
		seen[next.Name] = true
		current = next
	}
}

// checkBackendServers checks the data centre, the service, the limits and the number
// of slots of each backend server.
func (v *validator) checkBackendServers() {
	for _, name := range sortedNames(v.set.BackendServers) {
		b := v.set.BackendServers[name]
		v.checkReference(KindBackendServer, name, "dataCentre", KindDataCentre, b.DataCentre)
		if b.Service != "" {
			v.checkReference(KindBackendServer, name, "service", KindService, b.Service)
		}
		v.checkMinimum(KindBackendServer, name, "limit", int64(b.Limit), 1)
		v.checkMinimum(KindBackendServer, name, "coldLimit", int64(b.ColdLimit), 1)
		v.checkMinimum(KindBackendServer, name, "slots", int64(b.Slots), 0)
		if b.ColdLimit > b.Limit {
			v.addProblem(KindBackendServer, name, "coldLimit", "%d is more than the limit of %d that the server bears when warm", b.ColdLimit, b.Limit)
		}
	}
}

// checkClientAccounts checks the key, the share and the limits of each client account.
// Two accounts must not have the same key.
func (v *validator) checkClientAccounts() {
	accountByKey := map[core.Digest]string{}
	for _, name := range sortedNames(v.set.ClientAccounts) {
		a := v.set.ClientAccounts[name]
		v.checkDigest(KindClientAccount, name, "keyHash", a.KeyHash)
		if other, ok := accountByKey[a.KeyHash]; ok {
			v.addProblem(KindClientAccount, name, "keyHash", "the same key as ClientAccount %q", other)
		}
		accountByKey[a.KeyHash] = name
		v.checkMinimum(KindClientAccount, name, "share", int64(a.Share), 0)
		v.checkMinimum(KindClientAccount, name, "maxInFlight", int64(a.MaxInFlight), 0)
		v.checkMinimum(KindClientAccount, name, "maxPriority", int64(a.MaxPriority), 0)
		if a.MaxPriority > maxPriority {
			v.addProblem(KindClientAccount, name, "maxPriority", "want %d or less, got %d", maxPriority, a.MaxPriority)
		}
	}
}

// checkServices checks that each plain service has routes, and that the routes are
// well-formed and distinct.
func (v *validator) checkServices() {
	for _, name := range sortedNames(v.set.Services) {
		s := v.set.Services[name]
		if len(s.Routes) == 0 {
			v.addProblem(KindService, name, "routes", "missing; want one route or more")
		}
		seen := map[string]bool{}
		for i, r := range s.Routes {
			field := fmt.Sprintf("routes[%d]", i)
			v.checkRoute(name, field, r)
			id := r.Method + " " + r.Path
			if seen[id] {
				v.addProblem(KindService, name, field, "%s stands twice", shorten(id))
			}
			seen[id] = true
		}
	}
}

// allowedMethods are the HTTP methods that a route may have.
var allowedMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true}

// checkRoute checks the method and the path of one route of a service.
func (v *validator) checkRoute(service, field string, r Route) {
	if !allowedMethods[r.Method] {
		v.addProblem(KindService, service, field+".method", "want an HTTP method in capitals, got %q", shorten(r.Method))
	}
	if !strings.HasPrefix(r.Path, "/") {
		v.addProblem(KindService, service, field+".path", "want a path that starts with a slash, got %q", shorten(r.Path))
	}
}

// checkCapacity checks that the servers can hold all replicas of the models, and
// that no account may have more concurrent calls than the servers can run.
// Servers that are leaving or whose data centre is out of service count as
// available. A drain takes capacity away only temporarily, so it must not be
// refused.
func (v *validator) checkCapacity() {
	replicaCount, slotCount, totalLimit := 0, 0, 0
	for _, b := range v.set.BackendServers {
		totalLimit += b.Limit
		if b.Service == "" {
			slotCount += max(b.Slots, 1)
		}
	}
	for _, name := range sortedNames(v.set.Models) {
		m := v.set.Models[name]
		replicaCount += m.Replicas
		if engineCount := v.countEngines(m); m.Replicas > engineCount {
			v.addProblem(KindModel, name, "replicas", "%d replicas, but %d model engines in its data centres", m.Replicas, engineCount)
			continue
		}
		if replicaCount > slotCount {
			v.addProblem(KindModel, name, "replicas", "%d replicas with those of the models before it, but %d slots in all", replicaCount, slotCount)
		}
	}
	for _, name := range sortedNames(v.set.ClientAccounts) {
		if maxInFlight := v.set.ClientAccounts[name].MaxInFlight; totalLimit > 0 && maxInFlight > totalLimit {
			v.addProblem(KindClientAccount, name, "maxInFlight", "%d is more than the %d calls that all backend servers bear together", maxInFlight, totalLimit)
		}
	}
}

// countEngines counts the model engines in the data centres that may hold a model.
func (v *validator) countEngines(m *Model) int {
	count := 0
	for _, b := range v.set.BackendServers {
		if b.Service == "" && m.AllowsDataCentre(b.DataCentre) {
			count++
		}
	}
	return count
}
