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

// decodePath decodes a path and reports whether it is unambiguous.
//
// The route is matched against the decoded path, but the upstream receives the path as the caller sent it. If servers
// interpret a path differently, the request could run on a route whose key, method or limits were not checked. A path
// is ambiguous if it contains an escaped slash, an escaped unreserved character, an empty segment, a dot segment, a path
// parameter, a backslash, a control character or overlong UTF-8.
func decodePath(escaped string) (decoded string, ok bool) {
	decoded = percentDecode(escaped)
	if hasAmbiguousEscape(escaped) || !utf8.ValidString(decoded) || strings.ContainsFunc(decoded, isAmbiguousRune) {
		return decoded, false
	}
	trimmed := strings.TrimSuffix(strings.TrimPrefix(decoded, "/"), "/")
	if trimmed == "" {
		return decoded, decoded == "/"
	}
	for segment := range strings.SplitSeq(trimmed, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return decoded, false
		}
	}
	return decoded, true
}

func isAmbiguousRune(r rune) bool {
	return r < ' ' || r == 0x7f || r == '\\' || r == ';'
}

// hasAmbiguousEscape reports whether s escapes a slash or an unreserved character. The tilde is exempt because older
// encoders escape it.
func hasAmbiguousEscape(s string) bool {
	for i := range len(s) {
		c, ok := decodeEscapeAt(s, i)
		if ok && (c == '/' || c == '-' || c == '.' || c == '_' || isAlphanumeric(c)) {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}

// percentDecode decodes the percent-escapes of s and leaves invalid ones unchanged.
func percentDecode(s string) string {
	if strings.IndexByte(s, '%') < 0 {
		return s
	}
	decoded := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c, ok := decodeEscapeAt(s, i)
		if !ok {
			decoded = append(decoded, s[i])
			continue
		}
		decoded = append(decoded, c)
		i += 2
	}
	return string(decoded)
}

// decodeEscapeAt decodes the escape that starts at s[i], if there is one.
func decodeEscapeAt(s string, i int) (byte, bool) {
	if s[i] != '%' || i+2 >= len(s) {
		return 0, false
	}
	high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

// hexDigit returns the value of a hexadecimal digit, or -1 for any other character.
func hexDigit(c byte) int {
	i := strings.IndexByte("0123456789abcdefABCDEF", c)
	if i > 15 {
		return i - 6
	}
	return i
}
