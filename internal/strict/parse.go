package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// maxDepth bounds the recursion on hostile input; the deepest valid document has fewer than ten levels.
const maxDepth = 32

// object keeps the members of a JSON object in the order of the text.
type object []member

type member struct {
	name  string
	value any
}

// parser reads one JSON document into object, []any, string, json.Number, bool or nil.
type parser struct {
	decoder *json.Decoder
	report  ReportFunc
}

func parse(body []byte, report ReportFunc) (any, bool) {
	p := &parser{decoder: json.NewDecoder(bytes.NewReader(body)), report: report}
	p.decoder.UseNumber()
	value, ok := p.value("", 0)
	if !ok {
		return nil, false
	}
	if _, err := p.decoder.Token(); err != io.EOF {
		report("", "more text after the end of the document"+p.position(), "one JSON document")
		return nil, false
	}
	return value, true
}

func (p *parser) position() string {
	return " at byte " + strconv.FormatInt(p.decoder.InputOffset(), 10)
}

// syntax reports a syntax error without quoting the text, which may hold a secret.
func (p *parser) syntax(path string) (any, bool) {
	p.report(path, "a syntax error"+p.position(), "valid JSON")
	return nil, false
}

func (p *parser) value(path string, depth int) (any, bool) {
	if depth > maxDepth {
		p.report(path, "nested more than "+strconv.Itoa(maxDepth)+" levels deep", "fewer levels")
		return nil, false
	}
	token, err := p.decoder.Token()
	if err != nil {
		return p.syntax(path)
	}
	switch token {
	case json.Delim('{'):
		return p.object(path, depth)
	case json.Delim('['):
		return p.array(path, depth)
	}
	return token, true
}

func (p *parser) object(path string, depth int) (any, bool) {
	out := object{}
	seen := make(map[string]bool)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		name, isName := token.(string)
		if err != nil || !isName {
			return p.syntax(path)
		}
		at := join(path, name)
		value, ok := p.value(at, depth+1)
		if !ok {
			return nil, false
		}
		if seen[name] {
			p.report(at, "given more than once", "each name once")
			continue
		}
		seen[name] = true
		out = append(out, member{name: name, value: value})
	}
	if _, err := p.decoder.Token(); err != nil {
		return p.syntax(path)
	}
	return out, true
}

func (p *parser) array(path string, depth int) (any, bool) {
	out := []any{}
	for p.decoder.More() {
		value, ok := p.value(join(path, strconv.Itoa(len(out))), depth+1)
		if !ok {
			return nil, false
		}
		out = append(out, value)
	}
	if _, err := p.decoder.Token(); err != nil {
		return p.syntax(path)
	}
	return out, true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
