package ops

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	standin "github.com/rattanway/rattanway/standin/platform"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

const (
	// namedToken is the token of the operator ann.
	namedToken = "token-of-ann"
	// unnamedToken is the token of an operator without a name.
	unnamedToken = "token-of-anyone"
)

// fixture holds a stand-in for the platform, and the operator APIs of several entry
// instances.
type fixture struct {
	platform       *httptest.Server
	entryInstances []*entryInstance
}

// entryInstance is the operator API of one entry instance.
type entryInstance struct {
	server *httptest.Server
	addr   string
	holder *confstore.Holder
	client *Client
}

// newFixture starts a stand-in for the platform and n entry instances that use the
// stand-in.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{platform: httptest.NewServer(standin.New(standin.Config{}, clockwork.NewRealClock()))}
	t.Cleanup(f.platform.Close)
	for i := range n {
		f.entryInstances = append(f.entryInstances, f.newEntryInstance(t, i))
	}
	return f
}

// newEntryInstance starts entry instance number i.
func (f *fixture) newEntryInstance(t *testing.T, i int) *entryInstance {
	p := platform.NewHTTP(platform.Config{
		Addr:    strings.TrimPrefix(f.platform.URL, "http://"),
		Timeout: time.Second,
		Metrics: metrics.NewRegistry(),
	})
	e := &entryInstance{holder: confstore.NewHolder()}
	server := New(Config{
		Instance:  core.Instance{ID: fmt.Sprintf("entry-%d", i)},
		Operators: []Operator{{Name: "ann", Token: namedToken}, {Token: unnamedToken}},
	}, confstore.NewPublisher(p.Table, p.ObjectStore, clockwork.NewRealClock()), e.holder, nil, eventlog.Discard())
	router := echo.New()
	server.Register(router.Group(""))
	e.server = httptest.NewServer(router)
	t.Cleanup(e.server.Close)
	e.addr = strings.TrimPrefix(e.server.URL, "http://")
	e.client = NewClient(e.addr, unnamedToken)
	return e
}

// setFaults sets the faults that the stand-in for the platform injects.
func (f *fixture) setFaults(faults standin.FaultRequest) {
	body, err := json.Marshal(faults)
	So(err, ShouldBeNil)
	resp, err := http.Post(f.platform.URL+"/faults", "application/json", bytes.NewReader(body))
	So(err, ShouldBeNil)
	So(resp.Body.Close(), ShouldBeNil)
	So(resp.StatusCode, ShouldEqual, http.StatusNoContent)
}

// declarations returns a file that declares two data centres with a backend
// server in each, a model, the region west and the given regions.
func declarations(regions ...string) []declare.File {
	digest := core.DigestOf([]byte("manifest"))
	text := fmt.Sprintf(`kind: Region
name: west
---
{kind: DataCentre, name: palermo, region: west}
---
{kind: DataCentre, name: trapani, region: west}
---
{kind: Model, name: herbs, version: herbs-1, replicas: 1}
---
{kind: Version, name: herbs-1, model: herbs, manifest: "%s"}
---
{kind: BackendServer, name: gpu-1, dataCentre: palermo, limit: 8, coldLimit: 2}
---
{kind: BackendServer, name: gpu-2, dataCentre: trapani, limit: 8, coldLimit: 2}
`, digest)
	for _, r := range regions {
		text += "---\n{kind: Region, name: " + r + "}\n"
	}
	return []declare.File{{Name: "all.yaml", Body: []byte(text)}}
}

// applyRequest returns a request to replace version base with the result of
// declarations for the given regions.
func applyRequest(base uint64, changeID string, regions ...string) ApplyRequest {
	return ApplyRequest{
		ChangeMetadata: ChangeMetadata{Author: "ben", Reason: "test", ChangeID: changeID},
		Base:           &base,
		Files:          declarations(regions...),
	}
}

// requireProblem returns the problem document that err wraps, or fails the test
// if err wraps no problem document.
func requireProblem(err error) *Problem {
	var p *Problem
	So(errors.As(err, &p), ShouldBeTrue)
	return p
}

func TestOperations(t *testing.T) {
	Convey("Given two entry instances and an accepted configuration", t, func() {
		f := newFixture(t, 2)
		entryA, entryB := f.entryInstances[0], f.entryInstances[1]
		ctx := context.Background()
		accepted, err := entryA.client.Apply(ctx, applyRequest(0, "c1"))
		So(err, ShouldBeNil)
		So(accepted.Number, ShouldEqual, 1)

		Convey("the configuration is in force at once at the entry instance that accepted it", func() {
			So(entryA.holder.Current().Number, ShouldEqual, 1)
			status, err := entryA.client.Status(ctx)
			So(err, ShouldBeNil)
			So(status.Config, ShouldEqual, 1)
		})
		Convey("the name configured for an operator's token is recorded as the author", func() {
			_, err := NewClient(entryB.addr, namedToken).Apply(ctx, applyRequest(1, "c2", "east"))
			So(err, ShouldBeNil)
			history, err := entryA.client.History(ctx, 10)
			So(err, ShouldBeNil)
			So(history.Entries[0].Author, ShouldEqual, "ann")
			So(history.Entries[1].Author, ShouldEqual, "ben")
		})
		Convey("a plan lists the changes and the base that they are compared with", func() {
			plan, err := entryB.client.Plan(ctx, PlanRequest{Files: declarations("east")})
			So(err, ShouldBeNil)
			So(plan.Base, ShouldEqual, 1)
			So(plan.Changes[0].String(), ShouldEqual, "add Region east")
		})
		Convey("a conflict reports the version accepted first and the changes since the base", func() {
			_, err := entryA.client.Apply(ctx, applyRequest(1, "c2", "east"))
			So(err, ShouldBeNil)
			_, err = entryB.client.Apply(ctx, applyRequest(1, "c3", "north"))
			p := requireProblem(err)
			So(p.Type, ShouldEqual, TypeConflict)
			So(p.Winner.ChangeID, ShouldEqual, "c2")
			So(p.Changes[0].String(), ShouldEqual, "add Region east")
		})
		Convey("every entry instance returns the same bytes for a version", func() {
			first, err := entryA.client.Snapshot(ctx, 1)
			So(err, ShouldBeNil)
			second, err := entryB.client.Snapshot(ctx, 1)
			So(err, ShouldBeNil)
			So(bytes.Equal(first, second), ShouldBeTrue)
		})
		Convey("a data centre is taken out of service once and back in; the last one in service cannot be taken out", func() {
			metadata := ChangeMetadata{Author: "ben", Reason: "power", ChangeID: "d1"}
			out, err := entryB.client.SetDataCentreOut(ctx, "palermo", true, metadata)
			So(err, ShouldBeNil)
			So(out.Number, ShouldEqual, 2)
			metadata.ChangeID = "d2"
			again, err := entryA.client.SetDataCentreOut(ctx, "palermo", true, metadata)
			So(err, ShouldBeNil)
			So(again.Unchanged, ShouldBeTrue)
			metadata.ChangeID = "d3"
			_, err = entryA.client.SetDataCentreOut(ctx, "trapani", true, metadata)
			p := requireProblem(err)
			So(p.Type, ShouldEqual, TypeInvalidDeclarations)
			So(p.Problems[0].Message, ShouldContainSubstring, "every data centre")
			back, err := entryA.client.SetDataCentreOut(ctx, "palermo", false, metadata)
			So(err, ShouldBeNil)
			So(back.Number, ShouldEqual, 3)
		})
		Convey("a drain retried with the same change id takes effect once, and another drain with that id is refused", func() {
			metadata := ChangeMetadata{Author: "ben", Reason: "repair", ChangeID: "s1"}
			first, err := entryA.client.SetBackendServerLeaving(ctx, "gpu-1", true, metadata)
			So(err, ShouldBeNil)
			second, err := entryB.client.SetBackendServerLeaving(ctx, "gpu-1", true, metadata)
			So(err, ShouldBeNil)
			So(second.Number, ShouldEqual, first.Number)
			_, err = entryB.client.SetBackendServerLeaving(ctx, "gpu-2", true, metadata)
			So(requireProblem(err).Type, ShouldEqual, TypeChangeIDUsed)
		})
		Convey("a drain of an unknown backend server is refused", func() {
			_, err := entryA.client.SetBackendServerLeaving(ctx, "gpu-9", true, ChangeMetadata{Author: "ben", Reason: "x", ChangeID: "s1"})
			So(requireProblem(err).Type, ShouldEqual, TypeNotFound)
		})
		Convey("a revert creates a new version with the old content", func() {
			_, err := entryA.client.Apply(ctx, applyRequest(1, "c2", "east"))
			So(err, ShouldBeNil)
			back, err := entryB.client.Revert(ctx, RevertRequest{ChangeMetadata: ChangeMetadata{Author: "ben", Reason: "undo", ChangeID: "r1"}, Number: 1})
			So(err, ShouldBeNil)
			So(back.Number, ShouldEqual, 3)
			So(back.Digest, ShouldEqual, accepted.Digest)
			again, err := entryA.client.Revert(ctx, RevertRequest{ChangeMetadata: ChangeMetadata{Author: "ben", Reason: "undo", ChangeID: "r1"}, Number: 1})
			So(err, ShouldBeNil)
			So(again.Number, ShouldEqual, 3)
		})
		Convey("a revert on an outdated base is a conflict", func() {
			_, err := entryA.client.Apply(ctx, applyRequest(1, "c2", "east"))
			So(err, ShouldBeNil)
			base := uint64(1)
			_, err = entryB.client.Revert(ctx, RevertRequest{ChangeMetadata: ChangeMetadata{Author: "ben", Reason: "undo", ChangeID: "r1"}, Base: &base, Number: 1})
			So(requireProblem(err).Type, ShouldEqual, TypeConflict)
			So(requireProblem(err).Winner.ChangeID, ShouldEqual, "c2")
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Given an entry instance", t, func() {
		f := newFixture(t, 1)
		e := f.entryInstances[0]
		ctx := context.Background()
		_, err := e.client.Apply(ctx, applyRequest(0, "c1"))
		So(err, ShouldBeNil)
		assertNoNewVersion := func() {
			history, err := e.client.History(ctx, 10)
			So(err, ShouldBeNil)
			So(len(history.Entries), ShouldEqual, 1)
		}

		Convey("requests with a wrong or an empty token are refused", func() {
			for _, token := range []string{"wrong", "", namedToken + "x"} {
				_, err := NewClient(e.addr, token).Apply(ctx, applyRequest(1, "c2", "east"))
				So(requireProblem(err).Type, ShouldEqual, TypeWrongToken)
			}
			assertNoNewVersion()
		})
		Convey("malformed bodies are refused with a short detail", func() {
			big := strings.Repeat("x", 1000000)
			for body, detail := range map[string]string{
				"":                             "EOF",
				"[]":                           "cannot unmarshal",
				`{"base":-1}`:                  "cannot unmarshal",
				`{"base":1,"colour":2}`:        "unknown field",
				`{"base":1}{}`:                 "more than one",
				`{"reason":"r","files":[]}`:    "base is missing",
				`{"` + big + `":1,"base":"x"}`: "",
			} {
				p := requireProblem(postRaw(e, "/ops/apply", body))
				So(p.Status, ShouldEqual, http.StatusBadRequest)
				So(p.Detail, ShouldContainSubstring, detail)
			}
			assertNoNewVersion()
		})
		Convey("a body over the size limit is refused", func() {
			p := requireProblem(postRaw(e, "/ops/apply", `{"reason":"`+strings.Repeat("x", maxRequestBodyBytes)+`"}`))
			So(p.Detail, ShouldContainSubstring, "too large")
			assertNoNewVersion()
		})
		Convey("invalid declarations are refused with the file and line of each problem", func() {
			req := applyRequest(1, "c2")
			req.Files[0].Body = append(req.Files[0].Body, []byte("---\nkind: Region\nname: "+strings.Repeat("n", 1000000)+"\n")...)
			req.Files = append(req.Files, declare.File{Name: "bomb.yaml", Body: []byte("a: &a [1]\nb: [*a]\n")})
			_, err := e.client.Apply(ctx, req)
			p := requireProblem(err)
			So(p.Type, ShouldEqual, TypeInvalidDeclarations)
			So(len(p.Problems), ShouldEqual, 2)
			So(p.Problems[0].File, ShouldEqual, "all.yaml")
			So(p.Problems[0].Line, ShouldEqual, 17)
			So(len(p.Error()), ShouldBeLessThan, 1000)
			assertNoNewVersion()
		})
		Convey("a change without a reason is refused", func() {
			req := applyRequest(1, "c2", "east")
			req.Reason = ""
			_, err := e.client.Apply(ctx, req)
			So(requireProblem(err).Type, ShouldEqual, TypeBadRequest)
			assertNoNewVersion()
		})
		Convey("the removal of a version that its model still uses is refused", func() {
			req := applyRequest(1, "c2")
			req.Files[0].Body = bytes.ReplaceAll(req.Files[0].Body, []byte("herbs-1"), []byte("herbs-2"))
			_, err := e.client.Apply(ctx, req)
			p := requireProblem(err)
			So(p.Type, ShouldEqual, TypeInvalidDeclarations)
			So(p.Problems[0].Message, ShouldContainSubstring, "still answers from it")
			assertNoNewVersion()
		})
		Convey("while the platform is down a change is refused, and succeeds afterwards", func() {
			down := true
			f.setFaults(standin.FaultRequest{Unavailable: &down})
			_, err := e.client.Apply(ctx, applyRequest(1, "c2", "east"))
			p := requireProblem(err)
			So(p.Type, ShouldEqual, TypePlatformUnavailable)
			So(p.Detail, ShouldContainSubstring, "nothing was changed")
			So(e.holder.Current().Number, ShouldEqual, 1)
			down = false
			f.setFaults(standin.FaultRequest{Unavailable: &down})
			assertNoNewVersion()
			again, err := e.client.Apply(ctx, applyRequest(1, "c2", "east"))
			So(err, ShouldBeNil)
			So(again.Number, ShouldEqual, 2)
		})
	})
}

// postRaw sends body without encoding it as JSON, and returns the client's error.
func postRaw(e *entryInstance, path, body string) error {
	_, err := e.client.send(context.Background(), http.MethodPost, path, []byte(body))
	return err
}

func TestLostResponseThroughAnotherEntryInstance(t *testing.T) {
	Convey("Given a platform that loses the response to the next commit", t, func() {
		f := newFixture(t, 2)
		lostResponseCount := 1
		f.setFaults(standin.FaultRequest{LoseCommitResponses: &lostResponseCount})
		ctx := context.Background()

		Convey("a change retried through another entry instance is recorded once", func() {
			first, err := f.entryInstances[0].client.Apply(ctx, applyRequest(0, "c1"))
			So(err, ShouldBeNil)
			second, err := f.entryInstances[1].client.Apply(ctx, applyRequest(0, "c1"))
			So(err, ShouldBeNil)
			So(second.Number, ShouldEqual, first.Number)
			history, err := f.entryInstances[1].client.History(ctx, 10)
			So(err, ShouldBeNil)
			So(len(history.Entries), ShouldEqual, 1)
		})
	})
}

func TestRacesThroughEntryInstances(t *testing.T) {
	for _, operatorCount := range []int{2, 10} {
		Convey(fmt.Sprintf("Given %d operators who apply changes concurrently through four entry instances", operatorCount), t, func() {
			f := newFixture(t, 4)
			const roundCount = 5
			for round := range uint64(roundCount) {
				errs := f.applyConcurrently(operatorCount, round)
				acceptedCount := 0
				for _, err := range errs {
					if err == nil {
						acceptedCount++
						continue
					}
					p := requireProblem(err)
					So(p.Type, ShouldEqual, TypeConflict)
					So(p.Winner.Number, ShouldEqual, round+1)
					So(p.Changes, ShouldNotBeEmpty)
				}
				So(acceptedCount, ShouldEqual, 1)
			}
			history, err := f.entryInstances[0].client.History(context.Background(), 100)
			So(err, ShouldBeNil)
			So(len(history.Entries), ShouldEqual, roundCount)
		})
	}
}

// applyConcurrently applies one change for each operator concurrently, all on the
// same base and spread over the entry instances. It returns the operators' errors.
func (f *fixture) applyConcurrently(operatorCount int, base uint64) []error {
	errs := make([]error, operatorCount)
	var wg sync.WaitGroup
	for n := range operatorCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			changeID := fmt.Sprintf("round-%d-operator-%d", base, n)
			_, errs[n] = f.entryInstances[n%len(f.entryInstances)].client.Apply(context.Background(), applyRequest(base, changeID, changeID))
		}()
	}
	wg.Wait()
	return errs
}
