package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// maxDepth limits the recursion on malicious input; the deepest valid document has fewer than ten levels.
const maxDepth = 32

// object is a JSON object with its members in document order.
type object []member

type member struct {
	name  string
	value any
}

// parser parses one JSON document into a tree of object, []any, string, json.Number, bool and nil.
type parser struct {
	decoder *json.Decoder
	report  ReportFunc
}

func parse(body []byte, report ReportFunc) (any, bool) {
	p := &parser{decoder: json.NewDecoder(bytes.NewReader(body)), report: report}
	p.decoder.UseNumber()
	value, ok := p.parseValue("", 0)
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

// reportSyntaxError reports a syntax error without quoting the text, which may contain a secret.
func (p *parser) reportSyntaxError(path string) (any, bool) {
	p.report(path, "a syntax error"+p.position(), "valid JSON")
	return nil, false
}

func (p *parser) parseValue(path string, depth int) (any, bool) {
	if depth > maxDepth {
		p.report(path, "nested more than "+strconv.Itoa(maxDepth)+" levels deep", "fewer levels")
		return nil, false
	}
	token, err := p.decoder.Token()
	if err != nil {
		return p.reportSyntaxError(path)
	}
	switch token {
	case json.Delim('{'):
		return p.parseObject(path, depth)
	case json.Delim('['):
		return p.parseArray(path, depth)
	}
	return token, true
}

func (p *parser) parseObject(path string, depth int) (any, bool) {
	members := object{}
	seen := make(map[string]bool)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		name, isName := token.(string)
		if err != nil || !isName {
			return p.reportSyntaxError(path)
		}
		memberPath := joinPath(path, name)
		value, ok := p.parseValue(memberPath, depth+1)
		if !ok {
			return nil, false
		}
		if seen[name] {
			p.report(memberPath, "given more than once", "each name once")
			continue
		}
		seen[name] = true
		members = append(members, member{name: name, value: value})
	}
	if _, err := p.decoder.Token(); err != nil {
		return p.reportSyntaxError(path)
	}
	return members, true
}

func (p *parser) parseArray(path string, depth int) (any, bool) {
	elements := []any{}
	for p.decoder.More() {
		value, ok := p.parseValue(joinPath(path, strconv.Itoa(len(elements))), depth+1)
		if !ok {
			return nil, false
		}
		elements = append(elements, value)
	}
	if _, err := p.decoder.Token(); err != nil {
		return p.reportSyntaxError(path)
	}
	return elements, true
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
