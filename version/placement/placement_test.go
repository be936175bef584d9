package placement

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

// newFixture returns a set that declares serverCount servers in three data centres,
// and their agents, all live.
func newFixture(serverCount, slots int) (*declare.Set, []core.Instance) {
	set := declare.NewSet()
	var live []core.Instance
	for i := range serverCount {
		dc := fmt.Sprintf("dc%d", i%3)
		name := fmt.Sprintf("server%02d", i)
		set.DataCentres[dc] = &declare.DataCentre{Name: dc, Region: "r1"}
		set.BackendServers[name] = &declare.BackendServer{Name: name, DataCentre: dc, Slots: slots}
		live = append(live, core.Instance{ID: name, Role: core.RoleAgent, DataCentre: dc, Region: "r1"})
	}
	return set, live
}

// declareModel declares a model with one version and returns the digest of the
// version's manifest.
func declareModel(set *declare.Set, model, version, base string, replicas int) core.Digest {
	d := core.DigestOf([]byte(version))
	set.Models[model] = &declare.Model{Name: model, Version: version, Replicas: replicas}
	set.Versions[version] = &declare.Version{Name: version, Model: model, Manifest: d, Base: base}
	return d
}

// servers returns the names of the servers to which a version is assigned.
func servers(p *Plan, d core.Digest) map[string]bool {
	names := map[string]bool{}
	for _, i := range p.AssignedAgents(d) {
		names[i.ID] = true
	}
	return names
}

func TestCompute(t *testing.T) {
	Convey("Given twelve servers with one slot each", t, func() {
		set, live := newFixture(12, 1)
		v1 := declareModel(set, "m", "m-1", "", 5)
		before := Compute(set, live)

		Convey("a model is placed on as many servers as it has replicas", func() {
			So(len(servers(before, v1)), ShouldEqual, 5)
			for name := range servers(before, v1) {
				So(before.Assignments(name)[0].ManifestDigest, ShouldEqual, v1)
			}
		})
		Convey("the order of the live list does not matter", func() {
			reversed := make([]core.Instance, 0, len(live))
			for i := range live {
				reversed = append(reversed, live[len(live)-1-i])
			}
			So(Compute(set, reversed).AssignedAgents(v1), ShouldResemble, before.AssignedAgents(v1))
		})
		Convey("the next version is placed on the same servers", func() {
			v2 := declareModel(set, "m", "m-2", "", 5)
			So(servers(Compute(set, live), v2), ShouldResemble, servers(before, v1))
		})
		Convey("a server that is leaving is replaced by one other server", func() {
			leaving := before.AssignedAgents(v1)[0].ID
			set.BackendServers[leaving].Leaving = true
			after := servers(Compute(set, live), v1)
			So(len(after), ShouldEqual, 5)
			So(after[leaving], ShouldBeFalse)
			kept := 0
			for name := range servers(before, v1) {
				if after[name] {
					kept++
				}
			}
			So(kept, ShouldEqual, 4)
		})
		Convey("servers of a data centre out of service keep the version and do not count as replicas", func() {
			set.DataCentres["dc0"].Out = true
			after := servers(Compute(set, live), v1)
			counted := 0
			for name := range after {
				if set.BackendServers[name].DataCentre != "dc0" {
					counted++
				}
			}
			So(counted, ShouldEqual, 5)
			for name := range servers(before, v1) {
				So(after[name], ShouldBeTrue)
			}
		})
		Convey("no server is assigned more versions than it has slots", func() {
			declareModel(set, "n", "n-1", "", 12)
			plan := Compute(set, live)
			for _, i := range live {
				So(len(plan.Assignments(i.ID)), ShouldBeLessThanOrEqualTo, 1)
			}
		})
	})
	Convey("Given a base and an adapter", t, func() {
		set, live := newFixture(6, 2)
		base := declareModel(set, "base", "base-1", "", 3)
		adapter := declareModel(set, "adapter", "adapter-1", "base-1", 3)
		plan := Compute(set, live)

		Convey("the adapter is placed on the servers of its base", func() {
			So(servers(plan, adapter), ShouldResemble, servers(plan, base))
		})
		Convey("with more replicas, its additional servers are assigned the base as well, base first", func() {
			set.Models["adapter"].Replicas = 5
			plan = Compute(set, live)
			So(len(servers(plan, adapter)), ShouldEqual, 5)
			for name := range servers(plan, adapter) {
				So(plan.Assignments(name)[0].ManifestDigest, ShouldEqual, base)
				So(plan.Assignments(name)[1].BaseManifestDigest, ShouldEqual, base)
			}
		})
	})
}
