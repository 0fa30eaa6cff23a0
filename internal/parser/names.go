package parser

import "regexp"

// MaxNameBytes is the greatest length of a name in bytes.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// IsValidName reports whether text is a name: 1 to MaxName lower-case letters, digits, dots and hyphens, beginning and ending with a
// letter or digit.
func IsValidName(text string) bool {
	return namePattern.MatchString(text)
}
