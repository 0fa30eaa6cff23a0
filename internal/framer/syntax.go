package framer

import (
	"bytes"
	"strconv"
	"strings"
)

// parseStatusLine sets the version and the status of h and returns the reason phrase. Several spaces may separate the parts, and the
// space before an absent reason phrase may be missing (RFC 9112, section 4).
func (h *head) parseStatusLine(line []byte) (reason []byte, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return nil, malformed("the status line begins with %q", version)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || !isNumber(code) || code[0] < '1' || code[0] > '5' {
		return nil, malformed("the status is %q", code)
	}
	if !isFieldValue(reason) {
		return nil, malformed("control byte in the reason phrase")
	}
	h.minor = int(minor[0] - '0')
	h.status = 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
	return trimBlanks(reason), nil
}

// parseField splits a field line. No blank may stand between the name and the colon: recipients differ in whether they take such a
// field for the one that is meant.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, malformed("the name of a field is %q", name)
	}
	value = trimBlanks(value)
	if !isFieldValue(value) {
		return nil, nil, malformed("control byte in the value of the field %q", name)
	}
	return name, value, nil
}

// maxLengthDigits keeps lengths and chunk sizes far below the limit of an int64.
const maxLengthDigits = 15

// addLength sets the length of h. The length may be stated several times if the values are equal (RFC 9112, section 6.3).
func (h *head) addLength(value []byte) error {
	for part := range bytes.SplitSeq(value, []byte(",")) {
		n, err := parseNumber(trimBlanks(part), 10)
		if err != nil || h.length >= 0 && h.length != n {
			return malformed("the length is %q", value)
		}
		h.length = n
	}
	return nil
}

// addCodings adds the value of a field to the list of transfer codings.
func (h *head) addCodings(value []byte) {
	h.codings = append(append(h.codings, ','), value...)
	h.hasCodings = true
}

// isChunked reports whether chunked is the only transfer coding. Empty elements of the list do not count.
func isChunked(codings []byte) bool {
	n := 0
	for part := range bytes.SplitSeq(codings, []byte(",")) {
		part = trimBlanks(part)
		if len(part) == 0 {
			continue
		}
		if n++; !bytes.EqualFold(part, []byte("chunked")) {
			return false
		}
	}
	return n == 1
}

// containsToken reports whether a list contains the token, in any case.
func containsToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(trimBlanks(part), []byte(token)) {
			return true
		}
	}
	return false
}

// parseChunkSize returns the size in the first line of a chunk. Extensions are ignored.
func parseChunkSize(line []byte) (int64, error) {
	size, extension, _ := bytes.Cut(line, []byte(";"))
	n, err := parseNumber(bytes.TrimRight(size, " \t"), 16)
	if err != nil || !isFieldValue(extension) {
		return 0, malformed("the first line of a chunk is %q", line)
	}
	return n, nil
}

// parseNumber returns a number of one or more digits, without a sign.
func parseNumber(digits []byte, base int) (int64, error) {
	text := string(digits)
	if strings.ContainsAny(text, "+-_") {
		return 0, strconv.ErrSyntax
	}
	if trimmed := strings.TrimLeft(text, "0"); len(trimmed) > maxLengthDigits {
		return 0, strconv.ErrRange
	}
	return strconv.ParseInt(text, base, 64)
}

func trimBlanks(b []byte) []byte {
	return bytes.Trim(b, " \t")
}

func isBlank(b byte) bool {
	return b == ' ' || b == '\t'
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}

func isNumber(b []byte) bool {
	for _, c := range b {
		if !isDigit(c) {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenByte(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isFieldValue reports whether b contains no control bytes other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
