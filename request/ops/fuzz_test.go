package ops

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/version/confstore"
)

// emptyTable is a table without rows. It counts the commits, and returns an error
// for each.
type emptyTable struct{ commitCount int }

// Get implements platform.Table.
func (*emptyTable) Get(context.Context, string, uint64) (platform.Row, error) {
	return platform.Row{}, platform.ErrNotFound
}

// List implements platform.Table.
func (*emptyTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

// Commit implements platform.Table.
func (t *emptyTable) Commit(context.Context, []platform.Write) error {
	t.commitCount++
	return platform.ErrUnavailable
}

// emptyStore is an object store without objects.
type emptyStore struct{}

// Get implements platform.ObjectStore.
func (emptyStore) Get(context.Context, string, int64, int64) ([]byte, error) {
	return nil, platform.ErrNotFound
}

// Put implements platform.ObjectStore.
func (emptyStore) Put(context.Context, string, []byte) error { return nil }

// FuzzBodies checks that no request body causes a panic or an internal error in
// the operator API, that error responses are well-formed problem documents, and
// that a request refused as malformed or invalid writes nothing to the platform.
func FuzzBodies(f *testing.F) {
	for _, path := range []string{"/ops/apply", "/ops/plan", "/ops/revert", "/ops/datacentres/x/out", "/ops/backendservers/%2e%2e/leaving"} {
		for _, body := range []string{
			"", "{}", "[]", "null", `{"base":0}`, `{"base":1e400}`, `{"base":0,"files":[{"name":"a","body":"aTog"}]}`,
			`{"author":"a","reason":"r","changeId":"c","base":0,"files":[]}`,
			`{"number":18446744073709551616}`, strings.Repeat("[", 20000), "\xff", `{"reason":"\ud800"}`,
		} {
			f.Add(path, body)
		}
	}
	table := &emptyTable{}
	server := New(Config{Operators: []Operator{{Token: unnamedToken}}},
		confstore.NewPublisher(table, emptyStore{}, clockwork.NewRealClock()), confstore.NewHolder(), nil, eventlog.Discard())
	router := echo.New()
	server.Register(router.Group(""))
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/ops/") || strings.ContainsAny(path, " \r\n\x00") {
			return
		}
		commitCountBefore := table.commitCount
		r, err := http.NewRequest(http.MethodPost, "http://entry"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Authorization", "Bearer "+unnamedToken)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		if w.Header().Get("Content-Type") != problemMediaType {
			return
		}
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Type == "" || p.Status != w.Code {
			t.Fatalf("malformed problem document: %q", w.Body)
		}
		if p.Type == TypeInternal {
			t.Fatalf("internal error: %s", p.Detail)
		}
		refused := p.Type == TypeBadRequest || p.Type == TypeInvalidDeclarations
		if refused && table.commitCount != commitCountBefore {
			t.Fatal("a refused request committed a write to the platform")
		}
	})
}
