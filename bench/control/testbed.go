package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing/fstest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/connection/confsync"
	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/connection/homes"
	"github.com/rattanway/rattanway/connection/registry"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	standin "github.com/rattanway/rattanway/standin/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
	"github.com/rattanway/rattanway/version/manifest"
)

// Names and values in the declarations of the testbed.
const (
	modelName        = "herbs"
	accountName      = "erbe"
	accountKey       = "bench-key"
	region           = "lab"
	localDataCentre  = "lab-1"
	remoteDataCentre = "lab-2"
	// unusedAddr is the address of instances that receive no requests.
	unusedAddr = "127.0.0.1:9"
	// engineLimit is the declared limit of concurrent calls of the agent under
	// test.
	engineLimit = 512
)

// testbed is the environment of the two daemons under test: the platform, and
// agents and entry instances that run in this process.
type testbed struct {
	opt            Options
	log            *eventlog.Logger
	platform       *platform.Platform
	publisher      *confstore.Publisher
	digest         core.Digest // manifest digest of the model's version
	platformServer *standin.Server
	// listedInstances holds the instances in the platform's list.
	listedInstances []core.Instance
	// entryPlatformTraffic and agentPlatformTraffic count the traffic of the two
	// daemons with the platform.
	entryPlatformTraffic, agentPlatformTraffic traffic
	// changeCount is the number of configuration changes made so far.
	changeCount int
	// closers are called in reverse order by Close.
	closers []func()
}

// newTestbed starts the platform, with the two daemons in its list, and publishes
// the weights of the model.
func newTestbed(ctx context.Context, opt Options) (*testbed, error) {
	t := &testbed{opt: opt, log: eventlog.Discard()}
	clock := clockwork.NewRealClock()
	t.platformServer = standin.New(standin.Config{}, clock)
	t.addListed(
		core.Instance{ID: opt.EntryID, Role: core.RoleEntry, Addr: opt.EntryAddr, DataCentre: localDataCentre, Region: region},
		core.Instance{ID: opt.AgentID, Role: core.RoleAgent, Addr: opt.AgentAddr, DataCentre: localDataCentre, Region: region},
	)
	for _, link := range []struct {
		addr    string
		traffic *traffic
	}{{opt.EntryPlatform, &t.entryPlatformTraffic}, {opt.AgentPlatform, &t.agentPlatformTraffic}} {
		if _, err := t.serve(link.addr, t.platformServer, link.traffic); err != nil {
			return nil, err
		}
	}
	platformAddr, err := t.serve(loopbackAddr, t.platformServer, &traffic{})
	if err != nil {
		return nil, err
	}
	t.platform = platform.NewHTTP(platform.Config{Addr: platformAddr})
	t.publisher = confstore.NewPublisher(t.platform.Table, t.platform.ObjectStore, clock)

	files := fstest.MapFS{"weights": {Data: make([]byte, 1<<16)}}
	_, t.digest, err = manifest.Publish(ctx, t.platform.WeightStore, files, manifest.DefaultChunkBytes, "")
	return t, err
}

// serve starts a server for handler at addr and counts the server's traffic in
// counted. It returns the address on which the server listens.
func (t *testbed) serve(addr string, handler http.Handler, counted *traffic) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	t.closers = append(t.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(countingListener{Listener: listener, traffic: counted}) }()
	return listener.Addr().String(), nil
}

// Close stops everything that the testbed started.
func (t *testbed) Close() {
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

// declaredSet returns declarations with serverCount backend servers. Only the
// backend server of the agent under test may hold the model.
func (t *testbed) declaredSet(serverCount int) *declare.Set {
	set := declare.NewSet()
	set.Regions[region] = &declare.Region{Name: region}
	for _, name := range []string{localDataCentre, remoteDataCentre} {
		set.DataCentres[name] = &declare.DataCentre{Name: name, Region: region}
	}
	set.Models[modelName] = &declare.Model{Name: modelName, Version: "v1", Replicas: 1, DataCentres: []string{localDataCentre}}
	set.Versions["v1"] = &declare.Version{Name: "v1", Model: modelName, Manifest: t.digest}
	set.ClientAccounts[accountName] = &declare.ClientAccount{Name: accountName, KeyHash: core.DigestOf([]byte(accountKey))}
	set.BackendServers[t.opt.AgentID] = &declare.BackendServer{
		Name: t.opt.AgentID, DataCentre: localDataCentre, Limit: engineLimit, ColdLimit: engineLimit, Slots: 2, Fencing: true,
	}
	for i := 1; i < serverCount; i++ {
		set.BackendServers[backendServerName(i)] = &declare.BackendServer{
			Name: backendServerName(i), DataCentre: remoteDataCentre, Limit: 16, ColdLimit: 4, Slots: 2, Fencing: true,
		}
	}
	return set
}

// backendServerName returns the name of the declared backend server i.
func backendServerName(i int) string { return fmt.Sprintf("server-%d", i) }

// apply publishes a set as the next version and returns its number.
func (t *testbed) apply(ctx context.Context, set *declare.Set) (uint64, error) {
	t.changeCount++
	head, err := t.publisher.Head(ctx)
	if err != nil {
		return 0, err
	}
	snapshot, err := t.publisher.Apply(ctx, confstore.Change{
		Base: head.Number, Author: "bench", Reason: "measure",
		ChangeID: fmt.Sprintf("change-%d", t.changeCount), Set: set,
	})
	if err != nil {
		return 0, err
	}
	return snapshot.Number, nil
}

// changeLimit changes the declared limit of concurrent calls of one backend server
// in the set, so that the set differs from the version in force.
func (t *testbed) changeLimit(set *declare.Set) {
	server := set.BackendServers[backendServerName(1)]
	server.Limit = 16 + (t.changeCount % 2)
}

// staticMembers is a list of members that never changes.
type staticMembers []core.Instance

// All implements homes.Members.
func (m staticMembers) All() []core.Instance { return m }

// Changed implements homes.Members.
func (staticMembers) Changed() <-chan struct{} { return nil }

// startAgents starts n agents that register with the entry instance at addr, and
// waits until each of them has received the configuration. The returned function
// stops them.
func (t *testbed) startAgents(ctx context.Context, addr string, n int) (stop func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	members := staticMembers{{ID: t.opt.EntryID, Role: core.RoleEntry, Addr: addr, DataCentre: localDataCentre, Region: region}}
	var holders []*confstore.Holder
	done := make(chan struct{})
	for i := 1; i <= n; i++ {
		holder := confstore.NewHolder()
		report := func() frame.Report {
			return frame.Report{
				State: frame.StateReady, Limit: 16, ConfigNumber: holder.Current().Number,
				Loaded: []frame.LoadedVersion{{Model: "other", Version: "v1", Digest: core.DigestOf(nil)}},
			}
		}
		hub := confsync.NewHub(confsync.HolderSource{Holder: holder}, t.log)
		registrations := homes.New(homes.Config{
			Self: core.Instance{
				ID: backendServerName(i), Role: core.RoleAgent, Addr: unusedAddr, DataCentre: remoteDataCentre, Region: region,
			},
			Incarnation: fmt.Sprintf("incarnation-%d", i),
			PeerToken:   t.opt.PeerToken,
		}, members, hub, report, t.log)
		holders = append(holders, holder)
		go func() {
			_ = registrations.Run(ctx)
			done <- struct{}{}
		}()
	}
	stop = func() {
		cancel()
		for range holders {
			<-done
		}
	}
	return stop, waitUntil(ctx, "agents registered", func() bool {
		for _, holder := range holders {
			if holder.Current().Number == 0 {
				return false
			}
		}
		return true
	})
}

// startEntries starts n entry instances, adds them to the platform's list and waits
// until the agent under test has registered with each of them. startedBefore is the
// number of entry instances started earlier; counted counts the traffic of the new
// ones.
func (t *testbed) startEntries(ctx context.Context, n, startedBefore int, counted *traffic) error {
	var registries []*registry.Registry
	for i := startedBefore; i < startedBefore+n; i++ {
		self := core.Instance{ID: fmt.Sprintf("bench-entry-%d", i), Role: core.RoleEntry, DataCentre: localDataCentre, Region: region}
		holder := confstore.NewHolder()
		source := confsync.HolderSource{Holder: holder}
		reg := registry.New()
		hub := confsync.NewHub(source, t.log)
		listener := registry.NewListener(registry.ListenerConfig{Self: self}, reg, hub, source, nil, t.log)
		mux := http.NewServeMux()
		mux.Handle(registry.Path, listener)
		addr, err := t.serve(loopbackAddr, mux, counted)
		if err != nil {
			return err
		}
		t.closers = append(t.closers, listener.Close)
		self.Addr = addr
		t.addListed(self)
		follower := confstore.NewFollower(confstore.FollowerConfig{}, t.platform.Table, t.platform.ObjectStore, holder, t.log, clockwork.NewRealClock())
		go func() { _ = follower.Run(ctx) }()
		registries = append(registries, reg)
	}
	return waitUntil(ctx, "agent registered", func() bool {
		for _, reg := range registries {
			if len(reg.All()) == 0 {
				return false
			}
		}
		return true
	})
}

// addListed adds instances to the platform's list. The platform stand-in does not
// check their health, because the checks would count as traffic of the
// registrations.
func (t *testbed) addListed(instances ...core.Instance) {
	t.listedInstances = append(t.listedInstances[:len(t.listedInstances):len(t.listedInstances)], instances...)
	t.platformServer.SetInstanceList(t.listedInstances)
}

// addListedAgents adds the agents with numbers in the half-open range [from, to) to
// the platform's list.
func (t *testbed) addListedAgents(from, to int) {
	var agents []core.Instance
	for i := from; i < to; i++ {
		agents = append(agents, core.Instance{
			ID: fmt.Sprintf("listed-agent-%d", i), Role: core.RoleAgent, Addr: unusedAddr, DataCentre: remoteDataCentre, Region: region,
		})
	}
	t.addListed(agents...)
}

// waitUntil waits until condition returns true. After 30 s, it returns an error
// that contains the description.
func waitUntil(ctx context.Context, description string, condition func() bool) error {
	const (
		pollInterval = 20 * time.Millisecond
		timeout      = 30 * time.Second
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if err := sleep(ctx, pollInterval); err != nil {
			return core.WrapStep("wait until "+description, "", err)
		}
	}
	return nil
}
