package plan

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
)

// memoryStore is an object store in memory.
type memoryStore map[string][]byte

// Get implements platform.ObjectStore.
func (s memoryStore) Get(_ context.Context, name string, _, _ int64) ([]byte, error) {
	body, ok := s[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

// Put implements platform.ObjectStore.
func (s memoryStore) Put(_ context.Context, name string, body []byte) error {
	s[name] = body
	return nil
}

// publish stores a manifest that lists one chunk of 1 MiB for each name, and
// returns the digest of the manifest.
func (s memoryStore) publish(names ...string) core.Digest {
	var chunks []manifest.Chunk
	for _, name := range names {
		chunks = append(chunks, manifest.Chunk{Digest: core.DigestOf([]byte(name)), Size: mebibyte})
	}
	m := &manifest.Manifest{Files: []manifest.File{{Path: "w", Size: int64(len(names)) * mebibyte, Chunks: chunks}}}
	body, digest, err := m.Encode()
	So(err, ShouldBeNil)
	s[manifest.ManifestName(digest)] = body
	return digest
}

// modelOnTwoServers returns a set that declares a model and the two servers on
// which the model is placed. It also returns the instances of the servers'
// agents.
func modelOnTwoServers(digest core.Digest) (*declare.Set, []core.Instance) {
	set := declare.NewSet()
	set.Regions["west"] = &declare.Region{Name: "west"}
	set.Models["herbs"] = &declare.Model{Name: "herbs", Version: "herbs-1", Replicas: 2}
	set.Versions["herbs-1"] = &declare.Version{Name: "herbs-1", Model: "herbs", Manifest: digest}
	set.ClientAccounts["grower"] = &declare.ClientAccount{Name: "grower", KeyHash: digest}
	var live []core.Instance
	for i, dc := range []string{"palermo", "trapani"} {
		name := fmt.Sprintf("gpu-%d", i+1)
		set.DataCentres[dc] = &declare.DataCentre{Name: dc, Region: "west"}
		set.BackendServers[name] = &declare.BackendServer{Name: name, DataCentre: dc, Limit: 8, ColdLimit: 2, Slots: 2}
		live = append(live, core.Instance{ID: name, Role: core.RoleAgent, DataCentre: dc, Region: "west"})
	}
	return set, live
}

func TestEffects(t *testing.T) {
	Convey("Given a model on two servers", t, func() {
		weights := memoryStore{}
		first := weights.publish("a", "b", "c")
		old, live := modelOnTwoServers(first)
		in := Input{Old: old, New: old.Clone(), LiveInstances: live, WeightStore: weights}
		ctx := context.Background()

		Convey("no change has no effect", func() {
			So(Effects(ctx, in), ShouldBeEmpty)
		})
		Convey("a new version lists the chunks to fetch and the servers that switch", func() {
			second := weights.publish("a", "b", "d")
			in.New.Models["herbs"] = &declare.Model{Name: "herbs", Version: "herbs-2", Replicas: 2}
			in.New.Versions["herbs-2"] = &declare.Version{Name: "herbs-2", Model: "herbs", Manifest: second}
			So(Effects(ctx, in), ShouldResemble, []string{
				"load herbs-2 of Model herbs on 2 servers (gpu-1, gpu-2): 2 chunks, 2.0 MiB in all; one copy is 3 chunks, 3.0 MiB",
				"switch Model herbs from herbs-1 to herbs-2: 2 of these servers answer from the old version until the new one stands",
				"unload herbs-1 of Model herbs from 2 servers (gpu-1, gpu-2)",
			})
		})
		Convey("the amount is unknown for a version whose manifest is missing", func() {
			in.New.Models["herbs"] = &declare.Model{Name: "herbs", Version: "herbs-2", Replicas: 2}
			in.New.Versions["herbs-2"] = &declare.Version{Name: "herbs-2", Model: "herbs", Manifest: core.DigestOf([]byte("none"))}
			So(Effects(ctx, in)[0], ShouldEndWith, "amount unknown, the manifest cannot be read")
		})
		Convey("taking a data centre out lists the capacity that is lost", func() {
			So(in.New.SetDataCentreOut("palermo", true), ShouldBeNil)
			lines := Effects(ctx, in)
			So(lines, ShouldContain, "DataCentre palermo goes out: its 1 servers get no new work, their share of 8 calls at once moves to the others; calls in flight end")
			So(lines, ShouldContain, "calls that the servers in service bear at once: 16 -> 8")
		})
		Convey("a server that leaves and an account that is removed are listed", func() {
			So(in.New.SetBackendServerLeaving("gpu-2", true), ShouldBeNil)
			delete(in.New.ClientAccounts, "grower")
			lines := Effects(ctx, in)
			So(lines, ShouldContain, "BackendServer gpu-2 leaves: its share of 8 calls at once moves to the others; calls in flight end")
			So(lines, ShouldContain, "calls of ClientAccount grower will be refused")
		})
	})
}
