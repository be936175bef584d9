package fleet

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/test/wait"
)

func TestChooseEntries(t *testing.T) {
	known := map[string]string{}
	for _, dc := range []string{"palermo", "catania", "trapani", "messina", "siracusa"} {
		for i := range 12 {
			known[fmt.Sprintf("%s-%d", dc, i)] = dc
		}
	}
	remoteOf := func(chosen map[string]bool) (remote []string) {
		for addr := range chosen {
			if known[addr] != "palermo" {
				remote = append(remote, addr)
			}
		}
		return remote
	}

	Convey("In a small deployment an agent connects to all entry instances", t, func() {
		So(chooseEntries("a1", "palermo", map[string]string{"x": "palermo", "y": "catania", "z": ""}, nil), ShouldHaveLength, 3)
	})
	Convey("In a large one it connects to those of its own data centre and to two others", t, func() {
		chosen := chooseEntries("a1", "palermo", known, nil)
		So(chosen, ShouldHaveLength, 12+remoteEntryCount)
		So(remoteOf(chosen), ShouldHaveLength, remoteEntryCount)
	})
	Convey("It replaces those two when they fail, and keeps two if all fail", t, func() {
		failing := map[string]bool{}
		before := remoteOf(chooseEntries("a1", "palermo", known, nil))
		for _, addr := range before {
			failing[addr] = true
		}
		after := remoteOf(chooseEntries("a1", "palermo", known, failing))
		So(after, ShouldHaveLength, remoteEntryCount)
		for _, addr := range after {
			So(before, ShouldNotContain, addr)
		}
		for addr := range known {
			failing[addr] = true
		}
		So(remoteOf(chooseEntries("a1", "palermo", known, failing)), ShouldHaveLength, remoteEntryCount)
	})
}

func TestRelayedAgents(t *testing.T) {
	relayed := func(server string, version int) frame.RelayedAgent {
		return frame.RelayedAgent{
			Instance: core.Instance{ID: "remote-" + server}, ServerAddr: server, LoadedVersions: map[string]int{"herbs": version},
		}
	}
	Convey("Given a hub with an agent of its own and one of another data centre", t, func() {
		e := newTestEntry(t)
		a := newTestAgent(t, "a", e)
		a.Publish(frame.AgentState{LoadedVersions: map[string]int{"herbs": 1}})
		version := func(server string) int {
			s, ok := e.state(server)
			if !ok {
				return 0
			}
			return s.LoadedVersions["herbs"]
		}
		So(wait.Until(func() bool { return version("server-a") == 1 }), ShouldBeTrue)
		e.hub.UpdateRelayed("catania", true, []frame.RelayedAgent{relayed("server-x", 3), relayed("server-a", 9)}, nil)

		Convey("agents receive both in the list, and the state of the agent that is connected itself counts", func() {
			So(version("server-x"), ShouldEqual, 3)
			So(version("server-a"), ShouldEqual, 1)
			So(wait.Until(func() bool {
				return a.fleetMeets(func(f frame.Fleet) bool { return len(f.Agents) == 2 })
			}), ShouldBeTrue)
		})
		Convey("only its own agents are passed on to other data centres", func() {
			So(e.hub.LocalAgents(), ShouldHaveLength, 1)
			So(e.hub.LocalAgents()["server-a"].LoadedVersions["herbs"], ShouldEqual, 1)
		})
		Convey("when its own agent disconnects, the state from the other data centre counts", func() {
			a.stop()
			So(wait.Until(func() bool { return version("server-a") == 9 }), ShouldBeTrue)
		})
		Convey("agents that have gone there, or are missing in a complete report, are removed", func() {
			e.hub.UpdateRelayed("catania", false, nil, []string{"server-x"})
			So(version("server-x"), ShouldEqual, 0)
			e.hub.UpdateRelayed("catania", false, []frame.RelayedAgent{relayed("server-y", 2)}, nil)
			So(version("server-y"), ShouldEqual, 2)
			e.hub.DropRelayed("catania")
			So(version("server-y"), ShouldEqual, 0)
			So(version("server-a"), ShouldEqual, 1)
		})
	})
}
