package config

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

var (
	hashA = HashToken("", "token-a")
	hashB = HashToken("salt", "token-b")
)

const sampleWithoutOwners = `
regions:
  places:
    west: {data-centres: [west-1, west-2]}
    east:
      data-centres: [east-1]

# Models of the sales team.
models:
  chat:
    versions: [v2, v1]
    memory: 14GiB
    kv-bytes-per-token: 128KiB
    load-times: {memory: 2s, disk: 9s, remote: 40s}
    spread: regions
    adapters:
      depot-1: 48MiB
      depot-2: 64MiB
callers:
  tenants:
    sales: {weight: 3}
  callers:
    visits: {tenant: sales, class: interactive, credentials: ["%s"]}
services:
  orders:
    calls:
      - {method: GET, path-prefix: /prices, idempotent: true}
      - {method: GET, path-prefix: /prices/live, idempotent: false}
limits:
  default-deadline: 20s
`

// TestMain fixes the seed of rapid unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	const seed = "20261204"
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set(f.Name, seed); err != nil {
			panic(err)
		}
		fmt.Println("rapid seed", seed)
	}
	os.Exit(m.Run())
}

func sampleDocument() string {
	return fmt.Sprintf(`owners:
  operators:
    ana: {credentials: ["%s"]}
    budi: {credentials: ["%s"]}
  sections:
    owners: [ana]
    regions: [ana]
    models: [budi]
    callers: [ana, budi]
    services: [ana]
    limits: [ana]
    capacity: [ana]
`, hashA, hashB) + fmt.Sprintf(sampleWithoutOwners, HashToken("", "caller"))
}

func mustParse(t *testing.T, text string) *Document {
	t.Helper()
	d, problems := Parse("doc.yaml", text)
	require.NoError(t, problems.Err())
	return d
}

// Guards against written values that are dropped, replaced by a default or decoded from another key.
func TestParseReadsEveryPart(t *testing.T) {
	d := mustParse(t, sampleDocument())
	m, ok := d.Model("chat")
	require.True(t, ok)
	require.Equal(t, fleet.ModelVersion("v2"), m.Version())
	require.Equal(t, 14*fleet.GiB, m.Memory)
	require.Equal(t, 9*time.Second, m.LoadTimes.From(fleet.TierDisk))
	require.Equal(t, KeepWarm{Min: 30 * time.Second, Max: 15 * time.Minute}, m.KeepWarm)
	require.Equal(t, SpreadRegions, m.Spread)
	mem, ok := d.AdapterMemory(fleet.ParseTarget("chat:depot-2"))
	require.True(t, ok)
	require.Equal(t, 64*fleet.MiB, mem)
	require.False(t, d.HasTarget(fleet.ParseTarget("chat:depot-3")))
	require.Equal(t, 30, d.Capacity.WeightStore.AdapterLoadsInFlight)
	require.Equal(t, 20*time.Second, d.Limits.DefaultDeadline)
	require.Equal(t, 1024, d.Limits.WaitingPerBackend)
	c, ok := d.CallerByToken("caller")
	require.True(t, ok)
	require.Equal(t, fleet.ClassInteractive, c.Class)
	o, ok := d.OperatorByToken("token-b")
	require.True(t, ok)
	require.Equal(t, fleet.OperatorID("budi"), o.ID)
	_, ok = d.OperatorByToken("token-c")
	require.False(t, ok)
}

// Guards against a call that may not run twice but is treated as idempotent.
func TestIdempotentCalls(t *testing.T) {
	s, ok := mustParse(t, sampleDocument()).Service("orders")
	require.True(t, ok)
	for name, tc := range map[string]struct {
		method, path string
		want         bool
	}{
		"listed path":                {"GET", "/prices", true},
		"path below a listed prefix": {"GET", "/prices/7", true},
		"longest prefix":             {"GET", "/prices/live/7", false},
		"another path":               {"GET", "/prices-change", false},
		"another method":             {"POST", "/prices", false},
		"no entry for the path":      {"GET", "/orders", false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, s.Idempotent(tc.method, tc.path)) })
	}
}

// Guards against errors that are accepted silently, and against problems without line or remedy.
func TestParseReportsProblems(t *testing.T) {
	for name, tc := range map[string]struct{ from, to, want string }{
		"unknown key":            {"    memory: 14GiB", "    memori: 14GiB", `section models: unknown key "models.chat.memori"`},
		"underscore":             {"kv-bytes-per-token", "kv_bytes_per_token", `write "kv-bytes-per-token"`},
		"missing key":            {"    memory: 14GiB\n", "", `section models: "models.chat" has no key "memory"`},
		"no unit":                {"14GiB", "14", "is not a size with one of the units"},
		"decimal unit":           {"14GiB", "14GB", "is not a size with one of the units"},
		"duration without unit":  {"20s", "20", "is not a duration with one of the units"},
		"negative duration":      {"20s", "-20s", "is negative"},
		"unknown class":          {"interactive", "urgent", "write one of critical, interactive, standard, batch"},
		"missing tenant":         {"tenant: sales", "tenant: sale", `tenant "sale" is not declared; declare it in callers.tenants`},
		"missing operator":       {"models: [budi]", "models: [rudi]", `operator "rudi" is not declared`},
		"section without owner":  {"    models: [budi]\n", "", `section models: section "models" has no owner`},
		"unknown section":        {"    limits: [ana]", "    limit: [ana]", `"limit" is not a known value`},
		"duplicated adapter":     {"depot-2", "depot-1", `"models.chat.adapters" declares "depot-1" twice, first on line 29`},
		"duplicated key":         {"    memory: 14GiB", "    memory: 14GiB\n    memory: 15GiB", "is written twice"},
		"duplicated section":     {"\nlimits:", "\nmodels:", `key "models" is written twice`},
		"data centre twice":      {"east-1", "west-1", `data centre "west-1" belongs to region "west" already`},
		"name with colon":        {"      depot-1:", "      \"a:b\":", "is not in the expected form"},
		"min over max":           {"    spread: regions", "    min-replicas: 5", "min-replicas 5 exceeds max-replicas 4"},
		"pinned without replica": {"    spread: regions", "    pinned: true", "a pinned model needs a replica to keep"},
		"load times fall":        {"disk: 9s", "disk: 90s", "load times do not rise"},
		"plain credential":       {string(hashA), "token-a", "is not a SHA-256 hash of a token"},
		"credential used twice":  {string(hashB), string(hashA), "has a credential of another operator"},
		"deadline over maximum":  {"default-deadline: 20s", "default-deadline: 20m", "default-deadline 20m0s exceeds"},
		"value below its bound":  {"weight: 3", "weight: 0", "is less than 1"},
		"alias":                  {"memory: 14GiB", "memory: &m 14GiB", "uses a YAML anchor or alias"},
		"second document":        {"\nlimits:", "\n---\nlimits:", "a second YAML document begins"},
		"quoted section":         {"\nlimits:", "\n\"limits\":", "does not begin in the first column"},
		"key in a string":        {"depot-2: 64MiB", "depot-2: \"6\nlimits: 4MiB\"", "is not a section"},
		"empty section":          {"  default-deadline: 20s", "", `"limits" is empty and must be a mapping`},
		"bad YAML":               {"\nlimits:", "\nlimits: [", "not valid YAML"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(sampleDocument(), tc.from, tc.to, 1)
			require.NotEqual(t, sampleDocument(), text)
			d, problems := Parse("doc.yaml", text)
			require.Nil(t, d)
			require.ErrorContains(t, problems.Err(), tc.want)
			for _, p := range problems {
				require.Equal(t, "doc.yaml", p.File)
				require.Positive(t, p.Line)
				require.NotEmpty(t, p.Remedy)
			}
		})
	}
	_, problems := Parse("doc.yaml", strings.NewReplacer("14GiB", "14", "20s", "20", "sales,", "sale,").Replace(sampleDocument()))
	require.Len(t, problems, 3, "all problems at once")
	for i, part := range []string{"memory: 14GiB", "tenant: sales", "default-deadline"} {
		before, _, _ := strings.Cut(sampleDocument(), part)
		require.Equal(t, strings.Count(before, "\n")+1, problems[i].Line)
	}
}

// Guards against hunks that do not produce the new text, and against changes that are attributed to another section.
func TestDiff(t *testing.T) {
	for name, tc := range map[string]struct {
		edit [2]string
		want []Section
	}{
		"value":                     {[2]string{"14GiB", "15GiB"}, []Section{SectionModels}},
		"comment above the section": {[2]string{"sales team", "depot team"}, []Section{SectionModels}},
		"two sections":              {[2]string{"14GiB", "15GiB\n  # more"}, []Section{SectionModels}},
		"new section":               {[2]string{"\nlimits:", "\ncapacity:\n  kv-reserve: 1GiB\nlimits:"}, []Section{SectionCapacity}},
		"removed section":           {[2]string{"\nlimits:\n  default-deadline: 20s\n", "\n"}, []Section{SectionLimits}},
		"first lines":               {[2]string{"owners:", "# Document\nowners:"}, []Section{SectionOwners}},
		"section after blank lines": {[2]string{"20s\n", "20s\n\n\ncapacity:\n  kv-reserve: 1GiB"}, []Section{SectionCapacity}},
		"blank lines at the end":    {[2]string{"20s\n", "20s\n\n"}, []Section{SectionLimits}},
		"no line end":               {[2]string{"20s\n", "20s"}, []Section{SectionLimits}},
		"nothing":                   {[2]string{"14GiB", "14GiB"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			after := strings.Replace(sampleDocument(), tc.edit[0], tc.edit[1], 1)
			c := Diff(sampleDocument(), after)
			require.Equal(t, tc.want, c.Sections)
			got, ok := control.ApplyHunks(sampleDocument(), c.Hunks)
			require.True(t, ok)
			require.Equal(t, after, got)
		})
	}
	require.Len(t, Diff("", sampleDocument()).Sections, 6)
	blank := sampleDocument() + "\n\n"
	require.Equal(t, []Section{SectionCapacity}, Diff(blank, blank+"capacity:\n  kv-reserve: 1GiB\n").Sections,
		"blank lines move to the added section")
	require.Equal(t, []Section{SectionCapacity}, Diff(strings.TrimSuffix(sampleDocument(), "\n"), sampleDocument()+"capacity:\n  kv-reserve: 1GiB\n").Sections,
		"a line end is added")
}

// Guards against hunks that do not produce the new text when lines are repeated, moved, removed and changed. rapid prints its
// seed.
func TestHunksGiveNewText(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d\n", "e\n", "  x\n", "\n"}), 0, 40).Draw(t, "lines"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		before, after := text.Draw(t, "before"), text.Draw(t, "after")
		got, ok := control.ApplyHunks(before, diffLines(before, after))
		require.True(t, ok)
		require.Equal(t, after, got)
	})
}

// Guards against a merge that loses the change of one side, or that hides a conflict.
func TestRebase(t *testing.T) {
	models := strings.Replace(sampleDocument(), "14GiB", "15GiB", 1)
	limits := strings.Replace(sampleDocument(), "20s", "25s", 1)
	capacity := strings.Replace(sampleDocument(), "\nlimits:", "\ncapacity:\n  kv-reserve: 1GiB\nlimits:", 1)
	for name, tc := range map[string]struct {
		mine, theirs string
		wantContains []string
		conflict     []Section
	}{
		"disjoint":           {models, limits, []string{"15GiB", "25s"}, nil},
		"added section":      {capacity, limits, []string{"kv-reserve", "25s"}, nil},
		"added by the other": {limits, capacity, []string{"kv-reserve", "25s"}, nil},
		"same change":        {models, models, []string{"15GiB"}, nil},
		"conflict":           {models, strings.Replace(sampleDocument(), "14GiB", "16GiB", 1), nil, []Section{SectionModels}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Rebase(sampleDocument(), tc.mine, tc.theirs)
			if tc.conflict != nil {
				var c *Conflict
				require.ErrorAs(t, err, &c)
				require.Equal(t, tc.conflict, c.Sections)
				return
			}
			require.NoError(t, err)
			mustParse(t, got)
			for _, s := range tc.wantContains {
				require.Contains(t, got, s)
			}
		})
	}
	removed := strings.Replace(sampleDocument(), "    sales: {weight: 3}\n", "    other: {weight: 3}\n", 1)
	_, err := Rebase(removed, strings.Replace(removed, "20s", "21s", 1), removed)
	var problems Problems
	require.True(t, errors.As(err, &problems), "a merge that is not valid is not returned")
}

// Guards against texts with many unknown keys or repeated lines whose processing takes seconds of a host's CPU time.
func BenchmarkHostile(b *testing.B) {
	const lines = 100_000
	var unknown, repeated, moved strings.Builder
	for i := range lines {
		fmt.Fprintf(&unknown, "k%d: v\n", i)
		fmt.Fprintf(&repeated, "  v%d\n", i%300)
		fmt.Fprintf(&moved, "  v%d\n", (i*7)%300)
	}
	b.Run("unknown-keys", func(b *testing.B) {
		for b.Loop() {
			Parse("f", unknown.String())
		}
	})
	b.Run("repeated-lines", func(b *testing.B) {
		for b.Loop() {
			diffLines(repeated.String(), moved.String())
		}
	})
}

// rebaseEdits are changes of the sample; TestRebaseEqualsBothChanges assigns each to one side or to none.
func rebaseEdits() [][2]string {
	return [][2]string{
		{"14GiB", "15GiB"}, {"20s\n", "25s\n"}, {"weight: 3", "weight: 4"}, {"\nlimits:", "\ncapacity: {kv-reserve: 1GiB}\n\nlimits:"},
		{"east-1", "east-2"}, {"# Models of the sales team.\n", ""}, {"      - {method: GET, path-prefix: /prices/live, idempotent: false}\n", ""},
	}
}

// The side that makes an edit of rebaseEdits.
const (
	sideMine = iota
	sideTheirs
	sideNone
)

// checkRebase compares a merge with the result of making the edits of both sides one after the other.
func checkRebase(t require.TestingT, sides []int) {
	mine, theirs, both := sampleDocument(), sampleDocument(), sampleDocument()
	for i, e := range rebaseEdits() {
		switch sides[i] {
		case sideMine:
			mine, both = strings.Replace(mine, e[0], e[1], 1), strings.Replace(both, e[0], e[1], 1)
		case sideTheirs:
			theirs, both = strings.Replace(theirs, e[0], e[1], 1), strings.Replace(both, e[0], e[1], 1)
		}
	}
	merged, err := Rebase(sampleDocument(), mine, theirs)
	var c *Conflict
	if errors.As(err, &c) {
		require.Equal(t, []Section{SectionModels}, c.Sections, "two edits are in the section models")
		return
	}
	require.NoError(t, err)
	require.Empty(t, changedText(both, merged))
	want, problems := Parse("both", both)
	require.NoError(t, problems.Err())
	got, problems := Parse("merged", merged)
	require.NoError(t, problems.Err())
	require.Empty(t, changedValues(want, got))
}

// Guards against a merge that differs from making both changes one after the other; rapid prints its seed.
func TestRebaseEqualsBothChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sides := make([]int, len(rebaseEdits()))
		for i := range sides {
			sides[i] = rapid.IntRange(sideMine, sideNone).Draw(t, fmt.Sprint("side of edit ", i))
		}
		checkRebase(t, sides)
	})
}

// Guards against a false conflict when the other side adds a section: the last blank line of the section above moves to the added
// one, which must not count as a change of the section above.
func TestRebaseSectionAddedByTheOther(t *testing.T) {
	checkRebase(t, []int{sideMine, sideMine, sideMine, sideTheirs, sideMine, sideMine, sideMine})
}

// Guards against changes of a section by an operator that does not own it.
func TestCheckOwner(t *testing.T) {
	d := mustParse(t, sampleDocument())
	require.NoError(t, CheckOwner(d, "budi", []Section{SectionModels, SectionCallers}))
	err := CheckOwner(d, "budi", []Section{SectionModels, SectionLimits})
	var n *NotOwner
	require.ErrorAs(t, err, &n)
	require.Equal(t, []Section{SectionLimits}, n.Sections)
	require.Error(t, CheckOwner(d, "nobody", []Section{SectionModels}))
}

// Guards against panics, problems without a line, and accepted texts whose sections cannot be found by their lines.
func FuzzParse(f *testing.F) {
	f.Add(sampleDocument())
	f.Add("owners: {}\nmodels:\n  a: [\n")
	f.Add("owners: &a {x: *a}\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, problems := Parse("f", text)
		require.Equal(t, d == nil, len(problems) > 0)
		for _, p := range problems {
			require.Positive(t, p.Line)
		}
		if d != nil {
			require.Empty(t, Diff(text, text).Sections)
			after := text + "# end\n"
			got, ok := control.ApplyHunks(text, Diff(text, after).Hunks)
			require.True(t, ok)
			require.Equal(t, after, got)
		}
	})
}

// largeDocument returns a document with many models and adapters in the form of the examples.
func largeDocument(models, adapters int) string {
	var b strings.Builder
	b.WriteString(sampleDocument()[:strings.Index(sampleDocument(), "models:\n  chat")])
	b.WriteString("models:\n")
	for m := range models {
		fmt.Fprintf(&b, "  model-%d:\n    versions: [v2]\n    memory: 14GiB\n    kv-bytes-per-token: 128KiB\n", m)
		b.WriteString("    load-times: {memory: 2s, disk: 9s, remote: 40s}\n    adapters:\n")
		for a := range adapters {
			fmt.Fprintf(&b, "      outlet-group-%04d: %dMiB\n", a, 40+a%60)
		}
	}
	return b.String()
}

var largeSizes = map[string][2]int{"60x95": {60, 95}, "210x2100": {210, 10}}

func BenchmarkParse(b *testing.B) {
	for name, n := range largeSizes {
		text := largeDocument(n[0], n[1])
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, problems := Parse("f", text); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
	}
}

func BenchmarkDiff(b *testing.B) {
	for name, n := range largeSizes {
		before := largeDocument(n[0], n[1])
		after := strings.Replace(strings.Replace(before, "model-7:", "model-7b:", 1), "outlet-group-0003: 43MiB", "outlet-group-0003: 44MiB", 60)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Diff(before, after)
			}
		})
	}
}
