package settings

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"doorstack.dev/core/strictyaml"
)

const sample = `
engine_kinds:
  large: {protocol: engine, memory_tokens: 450000, prefill_tokens_per_second: 20000}
  rest: {protocol: service}
pools:
  llm: {kind: large, model: m}
  slots: {kind: rest}
priorities:
  urgent: {level: 0}
tree:
  deadline: 30s
  limits: {concurrent: 7}
  routes:
    chat: {pool: llm}
    book: {pool: slots, override: {deadline: 5s}}
  children:
    desks:
      priority: urgent
      children:
        north:
          max_waiting: 3
          account: {key_hashes: [%s]}
`

func sampleDocument(key string) []byte {
	hash := HashKey(key)
	return fmt.Appendf(nil, sample, fmt.Sprintf("%x", hash[:]))
}

func TestInheritance(t *testing.T) {
	tree, err := Parse(sampleDocument("secret"))
	if err != nil {
		t.Fatal(err)
	}
	account, err := tree.Authenticate("secret")
	if err != nil {
		t.Fatal(err)
	}
	rules := account.Routes["book"].Rules
	if account.Path != "/desks/north" || rules.Level != 0 || rules.Deadline.Seconds() != 5 || rules.Concurrent != 7 || rules.MaxWaiting != 3 {
		t.Fatalf("rules of route book for account %s = %+v, want level 0, deadline 5s, concurrent 7 and max_waiting 3 for /desks/north", account.Path, rules)
	}
	if account.Routes["chat"].Rules.Deadline.Seconds() != 30 || !account.Routes["chat"].Repeatable || account.Routes["book"].Repeatable {
		t.Fatalf("route chat = %+v, want deadline 30s and repeatable, and route book not repeatable", account.Routes["chat"])
	}
	if _, err := tree.Authenticate("other"); err == nil {
		t.Fatal("Authenticate accepted an unknown key")
	}
	values, err := tree.EffectiveValues("/desks/north")
	if err != nil {
		t.Fatal(err)
	}
	origins := map[string]string{}
	for _, v := range values {
		origins[v.Name] = v.Value + " " + v.Origin
	}
	for name, want := range map[string]string{
		"deadline": "30s /", "priority": "urgent /desks", "max_waiting": "3 /desks/north",
		"retry_share": "0.1 built-in", "limits.concurrent": "7 /",
	} {
		if origins[name] != want {
			t.Errorf("effective value of %s = %q, want %q", name, origins[name], want)
		}
	}
	if _, err := tree.EffectiveValues("/desks/nort"); err == nil || !strings.Contains(err.Error(), "north") {
		t.Errorf("EffectiveValues of an unknown node: error %v, want the existing nodes named", err)
	}
}

func TestParseReportsEveryProblemWithPosition(t *testing.T) {
	_, err := Parse([]byte(`
pools:
  llm: {kind: nothing}
tree:
  deadlin: 30s
  deadline: soon
  retry_share: 2
  routes:
    chat: {pool: nowhere}
  account: {key_hashes: [xyz]}
`))
	problems, ok := err.(strictyaml.Problems)
	if !ok {
		t.Fatalf("Parse error is a %T, want strictyaml.Problems: %v", err, err)
	}
	want := []string{
		`line 3, column 9: pools.llm.kind: there is no engine kind "nothing"`,
		`line 5, column 3: tree.deadlin: unknown key "deadlin"; did you mean "deadline"?`,
		`line 6, column 13: tree.deadline: "soon" is not a duration`,
		`line 7, column 3: tree.retry_share: is not between 0 and 1`,
		`line 9, column 12: tree.routes.chat.pool: there is no pool "nowhere"`,
		`line 10, column 13: tree.account.key_hashes[0]: is not a SHA-256 hash`,
	}
	text := problems.Error()
	for _, w := range want {
		if !strings.Contains(text, w) {
			t.Errorf("Parse did not report %q:\n%s", w, text)
		}
	}
}

func TestParsePartsAddsNodes(t *testing.T) {
	hash := HashKey("p")
	parts := map[string][]byte{
		MainPartKey:          sampleDocument("secret"),
		"tree/desks/south":   fmt.Appendf(nil, "account: {key_hashes: [%x]}", hash[:]),
		"tree/desks/south/x": []byte("deadline: 1s"),
	}
	tree, err := ParseParts(parts)
	if err != nil {
		t.Fatal(err)
	}
	if a := tree.Account("/desks/south"); a == nil || a.Rules.Level != 0 {
		t.Fatalf("account of a node part does not inherit from its parent: %+v", a)
	}
	parts["tree/nowhere/x"] = []byte("deadline: 1s")
	if _, err := ParseParts(parts); err == nil || !strings.Contains(err.Error(), "tree/nowhere/x") {
		t.Fatalf("ParseParts with a part that has no parent: error %v, want the part named", err)
	}
}

// TestSnapshotRevisionOnlyIncreases applies deltas of one history in any order, some
// twice: the revision only increases, and equal revisions have equal content.
func TestSnapshotRevisionOnlyIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Snapshot{{}}
		for revision := int64(1); revision <= 8; revision++ {
			c := Changes{Since: revision - 1, Revision: revision, Parts: map[string]Part{}}
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				c.Deleted = []string{key}
			} else {
				c.Parts[key] = Part{Revision: revision, Data: []byte{byte(revision)}}
			}
			next, err := history[revision-1].Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			history = append(history, next)
		}
		have := Snapshot{}
		for range 30 {
			to := rapid.IntRange(1, 8).Draw(t, "to")
			since := rapid.Int64Range(0, int64(to)).Draw(t, "since")
			before := have
			next, err := have.Apply(history[to].ChangesSince(since))
			if err != nil {
				if next.Revision != before.Revision {
					t.Fatal("Apply returned an error and another revision")
				}
				continue
			}
			have = next
			if have.Revision <= before.Revision {
				t.Fatalf("Apply went from revision %d to %d, want a higher one", before.Revision, have.Revision)
			}
			if have.Digest() != history[have.Revision].Digest() {
				t.Fatalf("digest of revision %d differs from the history", have.Revision)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(sampleDocument("secret"))
	f.Add([]byte("tree: {children: {a: null}}"))
	f.Add([]byte("tree: &a {children: {x: *a}}"))
	f.Add([]byte("pools: {p: null}\ntree: {routes: {r: null}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Parse(data)
		if (tree == nil) == (err == nil) {
			t.Fatalf("Parse returned tree %v and error %v, want exactly one", tree, err)
		}
	})
}

func largeDocument(accounts int) []byte {
	var text strings.Builder
	head, _, _ := strings.Cut(sample, "        north:")
	text.WriteString(head)
	for i := range accounts {
		hash := HashKey(fmt.Sprint("key", i))
		fmt.Fprintf(&text, "        account-%d:\n          limits: {requests_per_second: %d}\n          account: {key_hashes: [%x]}\n", i, i+1, hash[:])
	}
	return []byte(text.String())
}

func benchmarkParse(b *testing.B, accounts int) {
	data := largeDocument(accounts)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse110(b *testing.B)  { benchmarkParse(b, 110) }
func BenchmarkParse550(b *testing.B)  { benchmarkParse(b, 550) }
func BenchmarkParse1100(b *testing.B) { benchmarkParse(b, 1100) }

func BenchmarkAuthenticateAndRoute(b *testing.B) {
	tree, err := Parse(largeDocument(1100))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		account, err := tree.Authenticate("key700")
		if err != nil || account.Routes["chat"] == nil {
			b.Fatal(err)
		}
	}
}

// TestChangesReproduceContentOfRevision: daemons read some revisions from the store and request
// deltas from each other, in any order; a part may change and change back in between. Every
// snapshot must have the content of its revision, a delta that leads to other content must be
// refused, and the full set of parts must then be accepted.
func TestChangesReproduceContentOfRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const revisions = 8
		revisionParts := []map[string]Part{nil}
		for revision := int64(1); revision <= revisions; revision++ {
			parts := map[string]Part{}
			for _, key := range []string{"a", "b", "c", "d"} {
				if value := rapid.IntRange(0, 3).Draw(t, key); value > 0 {
					parts[key] = Part{Revision: revision, Data: []byte{byte(value)}}
				}
			}
			revisionParts = append(revisionParts, parts)
		}
		read := func(s Snapshot, revision int) Snapshot {
			next, err := s.Apply(Changes{Revision: int64(revision), Parts: revisionParts[revision]})
			if err != nil {
				return s
			}
			return next
		}
		daemons := make([]Snapshot, 3)
		for range 40 {
			i, j := rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.IntRange(0, 2).Draw(t, "peer")
			if rapid.Bool().Draw(t, "reads the store") {
				daemons[i] = read(daemons[i], rapid.IntRange(1, revisions).Draw(t, "revision"))
				continue
			}
			before := daemons[i]
			next, err := before.Apply(daemons[j].ChangesSince(before.Revision))
			if err == ErrDigestMismatch {
				if next, err = before.Apply(daemons[j].ChangesSince(0)); err != nil {
					t.Fatalf("Apply of all parts of revision %d at revision %d: %v", daemons[j].Revision, before.Revision, err)
				}
			}
			daemons[i] = next
		}
		for _, d := range daemons {
			if len(d.Parts) != len(revisionParts[d.Revision]) {
				t.Fatalf("revision %d has %d parts, want %d", d.Revision, len(d.Parts), len(revisionParts[d.Revision]))
			}
			for key, part := range revisionParts[d.Revision] {
				if string(d.Parts[key].Data) != string(part.Data) {
					t.Fatalf("part %s of revision %d differs from the store", key, d.Revision)
				}
			}
			if fresh := read(Snapshot{}, int(max(1, d.Revision))); d.Revision > 0 && fresh.Digest() != d.Digest() {
				t.Fatalf("digest of revision %d differs from that of a fresh read", d.Revision)
			}
		}
	})
}
