package forward

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against equal requests that are not recognised as such, and against different ones
// that are taken for equal.
func TestFingerprint(t *testing.T) {
	type request struct {
		account, method, host, target, body string
	}
	of := func(key string, r request, header ...string) string {
		req, err := http.NewRequest(r.method, "http://"+r.host+r.target, nil)
		So(err, ShouldBeNil)
		req.RequestURI = r.target
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		return fingerprint([]byte(key), r.account, req, []byte(r.body))
	}
	base := request{"growers", http.MethodPost, "example", "/a/b?c=d", "lot 7"}

	Convey("Equal requests have equal fingerprints, whatever their IDs and deadlines", t, func() {
		So(of("k", base, "X-Id", "1", "X-Deadline", "900"), ShouldEqual, of("k", base, "X-Id", "2"))
		So(of("k", base), ShouldHaveLength, 2*fingerprintBytes)
	})
	Convey("Requests that differ have different ones, and so have other keys", t, func() {
		seen := map[string]request{of("k", base): base}
		for _, r := range []request{
			{"", http.MethodPost, "example", "/a/b?c=d", "lot 7"},
			{"growers", http.MethodPut, "example", "/a/b?c=d", "lot 7"},
			{"growers", http.MethodPost, "example2", "/a/b?c=d", "lot 7"},
			{"growers", http.MethodPost, "example", "/a/b?c=e", "lot 7"},
			{"growers", http.MethodPost, "example", "/a/b?c=dlot", " 7"},
			{"growers", http.MethodPost, "example", "/a/b?c=d", "lot 8"},
			{"growers", http.MethodPost, "example", "/a/b?c=d", ""},
			{"growers", http.MethodPost, "example", "/a/b?c=d", strings.Repeat("lot 7", 1000)},
		} {
			seen[of("k", r)] = r
		}
		So(seen, ShouldHaveLength, 9)
		So(of("other", base), ShouldNotEqual, of("k", base))
	})
}
