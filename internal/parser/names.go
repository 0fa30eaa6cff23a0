package parser

import "regexp"

// MaxNameBytes is the maximum length of an object name.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// IsValidName reports whether text is a valid object name: 1 to MaxNameBytes lower-case ASCII letters, digits, dots and hyphens,
// of which the first and the last are letters or digits.
func IsValidName(text string) bool {
	return namePattern.MatchString(text)
}
