package gateway

import (
	"net/url"
	"strings"
	"unicode/utf8"
)

// servicePath returns the path below "/service/{service}", still percent-encoded, with a leading slash.
func servicePath(u *url.URL) string {
	rest := strings.TrimPrefix(u.EscapedPath(), "/service/")
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return "/"
	}
	return rest[i:]
}

// plainPath decodes a path and reports whether it is unambiguous.
//
// The route is found by the decoded path, but the upstream gets the path as it came. A path is ambiguous if servers
// differ in what they make of it, since the request could then run on a route whose key, method or limits were not
// checked: escaped slashes and escaped ordinary characters, empty and dot segments, path parameters, backslashes,
// control characters and overlong UTF-8.
func plainPath(escaped string) (plain string, ok bool) {
	plain = unescaped(escaped)
	if hasAmbiguousEscape(escaped) || !utf8.ValidString(plain) || strings.ContainsFunc(plain, isAmbiguous) {
		return plain, false
	}
	inner := strings.TrimSuffix(strings.TrimPrefix(plain, "/"), "/")
	if inner == "" {
		return plain, plain == "/"
	}
	for segment := range strings.SplitSeq(inner, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return plain, false
		}
	}
	return plain, true
}

func isAmbiguous(r rune) bool {
	return r < ' ' || r == 0x7f || r == '\\' || r == ';'
}

// hasAmbiguousEscape reports an escape of a character that is never escaped, or of a slash. The tilde is exempt: older
// encoders escape it.
func hasAmbiguousEscape(s string) bool {
	for i := range len(s) {
		c, ok := escapeAt(s, i)
		if ok && (c == '/' || c == '-' || c == '.' || c == '_' || isAlphanumeric(c)) {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}

// unescaped decodes the percent-escapes of s and leaves invalid ones as they are.
func unescaped(s string) string {
	if strings.IndexByte(s, '%') < 0 {
		return s
	}
	plain := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c, ok := escapeAt(s, i)
		if !ok {
			plain = append(plain, s[i])
			continue
		}
		plain = append(plain, c)
		i += 2
	}
	return string(plain)
}

// escapeAt decodes the escape that starts at s[i], if there is one.
func escapeAt(s string, i int) (byte, bool) {
	if s[i] != '%' || i+2 >= len(s) {
		return 0, false
	}
	high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

func hexDigit(c byte) int {
	i := strings.IndexByte("0123456789abcdefABCDEF", c)
	if i > 15 {
		return i - 6
	}
	return i
}
