package sapphiredrum

import "strings"

// ValidStatus reports whether the status of an HTTP answer, as in http.Response, begins with a
// code from 100 to 599. net/http also accepts other numbers and signs. An answer with such a
// status is none, whatever else its head says.
func ValidStatus(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
