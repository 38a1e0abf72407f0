package note_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/note"
)

const fullNote = `{"id":"n1","base":0,"add":{
 "organisations":{"sola":{"rate":5,"burst":10}},
 "keys":{"k1":{"organisation":"sola","digest":"` + digestA + `"}},
 "services":{"pregled":{"routes":[{"path":"/draws","methods":["GET"],"repeat":true,"class":"bulk"}],
  "upstreams":{"p1":{"region":"west","datacentre":"w1","address":"127.0.0.1:80","slots":6},
               "p2":{"region":"east","datacentre":"e1","address":"[::1]:80","slots":6}}}},
 "links":{"west-east":{"from":"west","to":"east","rate":500000000}},
 "sites":{"mesto":{"region":"west","datacentre":"w1"}},
 "blocks":{"10.1.0.0/16":"mesto","2001:db8::/32":"mesto"},
 "shifts":{"winter":{"service":"pregled","from":"west","to":"east","percent":20,"rate":10,"burst":5}},
 "drains":{"p2":{"service":"pregled"}}}}`

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func mustParse(t require.TestingT, body string) note.Note {
	n, err := note.Parse([]byte(body))
	require.NoError(t, err)
	return n
}

func mustApply(t require.TestingT, c note.Configuration, body string) note.Configuration {
	out, err := note.Apply(c, mustParse(t, body))
	require.NoError(t, err)
	return out
}

// errorPaths returns the paths of all FieldErrors and requires that each has a value and an allowed value.
func errorPaths(t require.TestingT, err error) []string {
	var invalid *note.InvalidError
	var infeasible *note.InfeasibleError
	var fields []*note.FieldError
	switch {
	case errors.As(err, &invalid):
		fields = invalid.Fields
	case errors.As(err, &infeasible):
		fields = infeasible.Fields
	default:
		require.Fail(t, "not a note error", "%v", err)
	}
	out := []string{}
	for _, f := range fields {
		require.NotEmpty(t, f.Value, f.Path)
		require.NotEmpty(t, f.Allowed, f.Path)
		out = append(out, f.Path)
	}
	return out
}

// Guards against an invalid field that is accepted, or reported under another path.
func TestParseReportsEachInvalidField(t *testing.T) {
	for _, c := range []struct{ old, replacement, path string }{
		{`"rate":5`, `"rate":0`, "add.organisations.sola.rate"},
		{`"rate":5`, `"rate":1e999`, "add.organisations.sola.rate"},
		{`"rate":5`, `"Rate":5`, "add.organisations.sola.Rate add.organisations.sola.rate"},
		{`"rate":5`, `"rate":5,"rate":6`, "add.organisations.sola.rate"},
		{`"burst":10`, `"burst":0.5`, "add.organisations.sola.burst"},
		{`"burst":10`, `"burst":null`, "add.organisations.sola.burst"},
		{digestA, `mistaken-7f3a`, "add.keys.k1.digest"},
		{digestA, strings.Repeat("0", 64), "add.keys.k1.digest"},
		{`"p1":{`, `"p1":{"colour":"red",`, "add.services.pregled.upstreams.p1.colour"},
		{`127.0.0.1:80`, `localhost:80`, "add.services.pregled.upstreams.p1.address"},
		{`127.0.0.1:80`, `127.0.0.1:0`, "add.services.pregled.upstreams.p1.address"},
		{`"slots":6},`, `"slots":0},`, "add.services.pregled.upstreams.p1.slots"},
		{`"/draws"`, `"draws"`, "add.services.pregled.routes.0.path"},
		{`"/draws"`, `"/a/../b"`, "add.services.pregled.routes.0.path"},
		{`"class":"bulk"}`, `"class":"huge"}`, "add.services.pregled.routes.0.class"},
		{`"class":"bulk"}`, `"class":"bulk"},{"path":"/draws/","methods":["GET"]}`, "add.services.pregled.routes.1.methods.0"},
		{`"GET"`, `"get"`, "add.services.pregled.routes.0.methods.0"},
		{`500000000`, `-1`, "add.links.west-east.rate"},
		{`"to":"east","rate":5`, `"to":"west","rate":5`, "add.links.west-east.to"},
		{`10.1.0.0/16`, `10.1.2.0/16`, "add.blocks.10.1.2.0/16"},
		{`10.1.0.0/16`, `10.1.0.0/33`, "add.blocks.10.1.0.0/33"},
		{`"percent":20`, `"percent":101`, "add.shifts.winter.percent"},
		{`"percent":20`, `"percent":"20"`, "add.shifts.winter.percent"},
		{`"percent":20,`, ``, "add.shifts.winter.percent"},
		{`"id":"n1"`, `"id":"a/b"`, "id"},
		{`"base":0`, `"base":-1`, "base"},
		{`{"id"`, `[{"id"`, ""},
		{`"drains"`, `"change":{"services":{"x":{"upstreams":{}}}},"drains"`, "add.change"},
	} {
		body := strings.Replace(fullNote, c.old, c.replacement, 1)
		require.NotEqual(t, fullNote, body, c.old)
		_, err := note.Parse([]byte(body))
		require.Error(t, err, c.replacement)
		require.Equal(t, c.path, strings.Join(errorPaths(t, err), " "), c.replacement)
		require.NotContains(t, err.Error(), "mistaken", "an error must not quote what may be a secret")
	}
}

// Guards against errors that mask one another, so that an operator has to submit a note repeatedly.
func TestParseReportsAllErrorsTogether(t *testing.T) {
	body := strings.NewReplacer(`"rate":5,`, `"rate":-5,`, `"percent":20`, `"percent":200`, `"n1"`, `""`).Replace(fullNote)
	_, err := note.Parse([]byte(body))
	require.Equal(t, []string{"add.organisations.sola.rate", "add.shifts.winter.percent", "id"}, errorPaths(t, err))
}

// Guards against dangling references, and against errors for a field that is not in the operator's note.
func TestApplyChecksReferences(t *testing.T) {
	base := mustApply(t, note.Configuration{}, fullNote)
	for body, path := range map[string]string{
		`"add":{"keys":{"k2":{"organisation":"none","digest":"` + digestB + `"}}}`:                                             "add.keys.k2.organisation",
		`"add":{"keys":{"k2":{"organisation":"sola","digest":"` + digestA + `"}}}`:                                             "add.keys.k2.digest",
		`"add":{"organisations":{"sola":{"rate":1,"burst":1}}}`:                                                                "add.organisations.sola",
		`"change":{"organisations":{"none":{"rate":1,"burst":1}}}`:                                                             "change.organisations.none",
		`"withdraw":{"organisations":["sola"]}`:                                                                                "withdraw.organisations.0",
		`"withdraw":{"keys":["k1","k1"]}`:                                                                                      "withdraw.keys.1",
		`"withdraw":{"sites":["mesto"]}`:                                                                                       "withdraw.sites.0",
		`"withdraw":{"services":["pregled"]}`:                                                                                  "withdraw.services.0",
		`"withdraw":{"upstreams":{"none":["p1"]}}`:                                                                             "withdraw.upstreams.none",
		`"withdraw":{"upstreams":{"pregled":["p3"]}}`:                                                                          "withdraw.upstreams.pregled.0",
		`"withdraw":{"drains":["p2"],"upstreams":{"pregled":["p2"]}}`:                                                          "shifts.winter.to",
		`"withdraw":{"shifts":["winter"],"upstreams":{"pregled":["p2"]}}`:                                                      "withdraw.upstreams.pregled.0",
		`"add":{"drains":{"p3":{"service":"pregled"}}}`:                                                                        "add.drains.p3",
		`"change":{"shifts":{"winter":{"service":"none","from":"west","to":"east","percent":1,"rate":1,"burst":1}}}`:           "change.shifts.winter.service",
		`"change":{"shifts":{"winter":{"service":"pregled","from":"south","to":"east","percent":1,"rate":1,"burst":1}}}`:       "change.shifts.winter.from",
		`"add":{"blocks":{"10.2.0.0/16":"none"}}`:                                                                              "add.blocks.10.2.0.0/16",
		`"add":{"links":{"again":{"from":"west","to":"east","rate":1}}}`:                                                       "add.links.again",
		`"add":{"services":{"b":{"upstreams":{"p1":{"region":"west","datacentre":"w1","address":"127.0.0.1:81","slots":1}}}}}`: "add.services.b.upstreams.p1",
	} {
		_, err := note.Apply(base, mustParse(t, `{"id":"n2",`+body+`}`))
		require.Error(t, err, body)
		require.Equal(t, []string{path}, errorPaths(t, err), body)
	}
	_, err := note.Apply(base, mustParse(t, `{"id":"n2","base":7}`))
	require.Equal(t, &note.ConflictError{Epoch: 1}, err)
}

// Guards against a parser that panics, and against a note that has another meaning after it is encoded and parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fullNote))
	f.Add([]byte(`{"id":"n","withdraw":{"upstreams":{"a":["b"]}},"base":18446744073709551615}`))
	f.Add([]byte(`{"id":"n","id":"m","add":[null,{"a":{"a":1}}]}`))
	f.Add([]byte(strings.Repeat(`{"add":`, 100)))
	f.Fuzz(func(t *testing.T, body []byte) {
		n, err := note.Parse(body)
		if err != nil {
			require.NotEmpty(t, errorPaths(t, err))
			return
		}
		require.True(t, json.Valid(body))
		encoded, err := json.Marshal(n)
		require.NoError(t, err)
		second := mustParse(t, string(encoded))
		c, err := note.Apply(note.Configuration{}, n)
		resent, resentErr := note.Apply(note.Configuration{}, second)
		require.Equal(t, err, resentErr)
		if err != nil {
			return
		}
		_, resentDigest, err := note.Encode(resent)
		require.NoError(t, err)
		text, digest, err := note.Encode(c)
		require.NoError(t, err)
		decoded, err := note.Decode(text)
		require.NoError(t, err)
		_, decodedDigest, err := note.Encode(decoded)
		require.NoError(t, err)
		require.Equal(t, digest, decodedDigest)
		require.Equal(t, digest, resentDigest)
		require.Equal(t, id.DigestOf(text), digest)
	})
}
