package requests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/standin/engine"
)

const testDigest = core.Digest("sha256:test")

func TestScenarioFile(t *testing.T) {
	Convey("The example scenario is valid, and its calls depend on the seed only", t, func() {
		s, err := Load("../../examples/requests.yaml", nil, nil)
		So(err, ShouldBeNil)
		first, second := planCalls(s), planCalls(s)
		So(first, ShouldResemble, second)
		s.Seed++
		So(planCalls(s), ShouldNotResemble, first)
	})
	Convey("Check reports every problem of a scenario at once", t, func() {
		err := (&Scenario{Accounts: []Account{{Name: "a", OnceShare: 0.5}}}).Check()
		for _, part := range []string{"duration", "entries", "rate", "tokens", "oncePath", "model"} {
			So(err.Error(), ShouldContainSubstring, part)
		}
	})
}

// responseHandler responds to streamed calls with the correct text changed by
// edit, followed by [DONE] if done is set.
func responseHandler(edit func(string) string, done bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == readyPath {
			return
		}
		body, _ := io.ReadAll(r.Body)
		text, _ := engine.ExpectedText(testDigest, body)
		w.Header().Set(core.HeaderDigest, string(testDigest))
		for _, token := range strings.SplitAfter(edit(text), " ") {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token)
		}
		if done {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	})
}

func TestResponsesAreClassified(t *testing.T) {
	unedited := func(s string) string { return s }
	cases := []struct {
		name string
		edit func(string) string
		done bool
		want Outcome
	}{
		{"the correct response", unedited, true, OutcomeWhole},
		{"a response that ends without [DONE]", unedited, false, OutcomeWrong},
		{"a response without its first token", func(s string) string { return s[9:] }, true, OutcomeWrong},
		{"a response with its first token sent twice", func(s string) string { return s[:9] + s }, true, OutcomeDoubled},
	}
	Convey("Each response gets the outcome that matches its text", t, func() {
		for _, c := range cases {
			server := httptest.NewServer(responseHandler(c.edit, c.done))
			r, err := Run(context.Background(), &Scenario{
				Name: "judge", Seed: 5, Duration: 100 * time.Millisecond, EntryAddrs: []string{server.Listener.Addr().String()},
				Accounts: []Account{{Name: "a", CallsPerSecond: 100, Model: "m", StreamShare: 1, Tokens: Range{Min: 4, Max: 4}}},
			})
			server.Close()
			So(err, ShouldBeNil)
			So(r.All.Calls, ShouldBeGreaterThan, 0)
			SoMsg(c.name, r.All.Outcomes[c.want], ShouldEqual, r.All.Calls)
		}
	})
}
