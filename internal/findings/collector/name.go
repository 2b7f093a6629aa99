package collector

import "strings"

// MaxNameLength is the maximum length in bytes of the names of members, endpoints, services, data centres and nodes.
const MaxNameLength = 128

// namePunctuation contains the characters allowed in names besides ASCII letters and digits. Names are ASCII because two Unicode
// encodings of the same word would be two members.
const namePunctuation = "._-:@/"

// CheckName returns why text is not a valid name, or an empty string if it is valid.
func CheckName(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > MaxNameLength:
		return "is longer than 128 characters"
	case strings.IndexFunc(text, func(r rune) bool { return !isLetterOrDigit(r) && !strings.ContainsRune(namePunctuation, r) }) >= 0:
		return "may only hold ASCII letters, digits and the characters " + namePunctuation
	case !isLetterOrDigit(rune(text[0])):
		return "must start with a letter or a digit"
	default:
		return ""
	}
}

func isLetterOrDigit(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}
