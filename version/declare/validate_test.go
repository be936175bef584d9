package declare

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// replacement replaces the text from in validYAML by the text to.
type replacement struct{ from, to string }

// validWith returns validYAML after applying edits.
func validWith(edits ...replacement) string {
	text := validYAML
	for _, e := range edits {
		So(text, ShouldContainSubstring, e.from)
		text = strings.Replace(text, e.from, e.to, 1)
	}
	return text
}

// adapterDocument returns the YAML document of a version of model herbs with the given
// base.
func adapterDocument(name, base string) string {
	return "---\nkind: Version\nname: " + name + "\nmodel: herbs\nmanifest: " + string(digestA) + "\nbase: " + base + "\n"
}

func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name  string
		edits []replacement
		// appendedYAML is added to validYAML after the edits.
		appendedYAML string
		// want holds, for each expected problem, a part of its text.
		want []string
	}{
		{
			name:  "dangling references",
			edits: []replacement{{"region: west", "region: north"}, {"dataCentre: palermo", "dataCentre: nowhere"}, {"service: lots", "service: lost"}},
			want: []string{
				`all.yaml:7: DataCentre "palermo": region: there is no Region "north"`,
				`all.yaml:25: BackendServer "gpu-1": dataCentre: there is no DataCentre "nowhere"`,
				`all.yaml:38: BackendServer "lots-1": service: there is no Service "lost"`,
			},
		},
		{
			name:  "a model whose version is missing, and a version whose model is missing",
			edits: []replacement{{"version: herbs-1", "version: herbs-9"}, {"model: herbs", "model: spices"}},
			want: []string{
				`all.yaml:15: Model "herbs": version: there is no Version "herbs-9"`,
				`all.yaml:20: Version "herbs-1": model: there is no Model "spices"`,
			},
		},
		{
			name:         "a version of another model",
			edits:        []replacement{{"model: herbs", "model: spices"}},
			appendedYAML: "---\nkind: Model\nname: spices\nversion: herbs-1\nreplicas: 1\n",
			want:         []string{`all.yaml:15: Model "herbs": version: Version "herbs-1" belongs to Model "spices"`, `Model "spices": replicas: 3 replicas with those`},
		},
		{
			name:         "circular bases",
			appendedYAML: adapterDocument("a", "b") + adapterDocument("b", "c") + adapterDocument("c", "a") + adapterDocument("d", "c"),
			want: []string{
				`Version "a": base: circular: a -> b -> c -> a`,
				`Version "b": base: circular: b -> c -> a -> b`,
				`Version "c": base: circular: c -> a -> b -> c`,
			},
		},
		{
			name:  "replicas over capacity",
			edits: []replacement{{"replicas: 2", "replicas: 3"}},
			want:  []string{`all.yaml:16: Model "herbs": replicas: 3 replicas, but 2 model engines in its data centres`},
		},
		{
			name:  "replicas over capacity in the model's data centres",
			edits: []replacement{{"replicas: 2", "replicas: 2\ndataCentres: [palermo]"}},
			want:  []string{`all.yaml:16: Model "herbs": replicas: 2 replicas, but 1 model engines in its data centres`},
		},
		{
			name:         "replicas of all models together over capacity",
			appendedYAML: "---\nkind: Model\nname: spices\nversion: spices-1\nreplicas: 1\n---\nkind: Version\nname: spices-1\nmodel: spices\nmanifest: " + string(digestB) + "\n",
			want:         []string{`all.yaml:59: Model "spices": replicas: 3 replicas with those of the models before it, but 2 slots in all`},
		},
		{
			name:  "the only data centre of a model taken out",
			edits: []replacement{{"replicas: 2", "replicas: 1\ndataCentres: [palermo]"}, {"region: west\n---\nkind: DataCentre\nname: trapani", "region: west\nout: true\n---\nkind: DataCentre\nname: trapani"}},
			want:  []string{`all.yaml:18: Model "herbs": dataCentres: every data centre that may hold the model is out: palermo`},
		},
		{
			name:  "every data centre taken out",
			edits: []replacement{{"name: palermo", "name: palermo\nout: true"}, {"name: trapani", "name: trapani\nout: true"}},
			want:  []string{`all.yaml:15: Model "herbs": dataCentres: every data centre that may hold the model is out: palermo, trapani`},
		},
		{
			name:  "a data centre named twice and one that is missing",
			edits: []replacement{{"replicas: 2", "replicas: 1\ndataCentres: [palermo, palermo, enna]"}},
			want: []string{
				`all.yaml:17: Model "herbs": dataCentres: "palermo" stands twice`,
				`all.yaml:17: Model "herbs": dataCentres[2]: there is no DataCentre "enna"`,
			},
		},
		{
			name:  "limits above the limits of the servers",
			edits: []replacement{{"coldLimit: 2", "coldLimit: 9"}, {"maxInFlight: 10", "maxInFlight: 25"}, {"limit: 8\ncoldLimit: 8", "limit: 8\ncoldLimit: 0"}},
			want: []string{
				`all.yaml:27: BackendServer "gpu-1": coldLimit: 9 is more than the limit of 8 that the server bears when warm`,
				`all.yaml:40: BackendServer "lots-1": coldLimit: want 1 or more, got 0`,
				`all.yaml:45: ClientAccount "grower": maxInFlight: 25 is more than the 24 calls that all backend servers bear together`,
			},
		},
		{
			name:  "numbers out of bounds",
			edits: []replacement{{"replicas: 2", "replicas: 0"}, {"limit: 8", "limit: -1"}, {"maxInFlight: 10", "maxInFlight: -1\nmaxPriority: 10\nshare: -2"}, {"linkBytesPerSecond: 3000000", "linkBytesPerSecond: -5"}},
			want: []string{
				`all.yaml:3: Region "west": linkBytesPerSecond: want 0 or more, got -5`,
				`all.yaml:16: Model "herbs": replicas: want 1 or more, got 0`,
				`all.yaml:26: BackendServer "gpu-1": limit: want 1 or more, got -1`,
				`all.yaml:27: BackendServer "gpu-1": coldLimit: 2 is more than the limit of -1 that the server bears when warm`,
				`all.yaml:45: ClientAccount "grower": maxInFlight: want 0 or more, got -1`,
				`all.yaml:46: ClientAccount "grower": maxPriority: want 9 or less, got 10`,
				`all.yaml:47: ClientAccount "grower": share: want 0 or more, got -2`,
			},
		},
		{
			name:  "malformed digests",
			edits: []replacement{{"manifest: sha256:", "manifest: md5:"}, {"keyHash: " + string(digestB), "keyHash: sha256:00"}},
			want:  []string{`all.yaml:21: Version "herbs-1": manifest: digest`, `all.yaml:44: ClientAccount "grower": keyHash: digest`},
		},
		{
			name:         "two accounts with one key",
			appendedYAML: "---\nkind: ClientAccount\nname: hire\nkeyHash: " + string(digestB) + "\n",
			want:         []string{`ClientAccount "hire": keyHash: the same key as ClientAccount "grower"`},
		},
		{
			name:         "malformed, missing and duplicate routes",
			edits:        []replacement{{"method: POST\n    path: /register", "method: post\n    path: register"}},
			appendedYAML: "---\nkind: Service\nname: idle\nroutes: []\n---\nkind: Service\nname: twice\nroutes: [{method: GET, path: /x}, {method: GET, path: /x}]\n",
			want: []string{
				`Service "lots": routes[0].method: want an HTTP method in capitals, got "post"`,
				`Service "lots": routes[0].path: want a path that starts with a slash, got "register"`,
				`Service "idle": routes: missing; want one route or more`,
				`Service "twice": routes[1]: GET /x stands twice`,
			},
		},
	} {
		Convey("Given "+c.name, t, func() {
			_, problems := Check(oneFile(validWith(c.edits...) + c.appendedYAML))
			got := problemText(problems)
			for _, want := range c.want {
				So(got, ShouldContainSubstring, want)
			}
			So(len(problems), ShouldEqual, len(c.want))
		})
	}
}

func TestValidateChange(t *testing.T) {
	Convey("Given a current set", t, func() {
		old := validSet()

		Convey("a change that switches a model and removes its previous version is refused", func() {
			parsed, problems := Check(oneFile(strings.ReplaceAll(validYAML, "herbs-1", "herbs-2")))
			So(problems, ShouldBeEmpty)
			got := problemText(ValidateChange(old, parsed.Set))
			So(got, ShouldContainSubstring, `Version "herbs-1": name: removed while Model "herbs" still answers from it`)
		})
		Convey("a switch that keeps the previous version is accepted", func() {
			parsed, problems := Check(oneFile(validWith(replacement{"version: herbs-1", "version: herbs-2"}) + strings.Replace(adapterDocument("herbs-2", "x"), "base: x\n", "", 1)))
			So(problems, ShouldBeEmpty)
			So(ValidateChange(old, parsed.Set), ShouldBeEmpty)
		})
		Convey("removing a model with its version is accepted", func() {
			set := old.Clone()
			delete(set.Models, "herbs")
			delete(set.Versions, "herbs-1")
			So(ValidateChange(old, set), ShouldBeEmpty)
		})
	})
}
