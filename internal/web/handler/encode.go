package handler

import "unicode/utf8"

const hexDigits = "0123456789abcdef"

// appendJSONString appends text as a JSON string. Invalid UTF-8 bytes become U+FFFD, as in encoding/json.
func appendJSONString(buffer []byte, text string) []byte {
	buffer = append(buffer, '"')
	start := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRuneInString(text[i:])
			if r == utf8.RuneError && size == 1 {
				buffer = append(append(buffer, text[start:i]...), `\ufffd`...)
				start = i + 1
			}
			i += size
			continue
		}
		if c >= ' ' && c != '"' && c != '\\' {
			i++
			continue
		}
		buffer = append(buffer, text[start:i]...)
		switch c {
		case '"', '\\':
			buffer = append(buffer, '\\', c)
		case '\n':
			buffer = append(buffer, '\\', 'n')
		default:
			buffer = append(buffer, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		}
		i++
		start = i
	}
	buffer = append(buffer, text[start:]...)
	return append(buffer, '"')
}
