package wire

import "math/rand/v2"

// fields are those that a run's callers fill with unusual bytes.
type fields struct{ data, items, values, shapes, ids bool }

// oddWords have no blank, so that they also are fields in the middle of a line. None holds CR LF, or ends so that the CR LF
// of the line would end it earlier.
var oddWords = []string{
	"a\nb", "a\rb", "a\r\rb", "\na", "\ra", "a\n", "a\r", "\n", "\r", "a\n\n", "a\n\rb", "a\x00b", "\x00", "\xff\xfe", "caf\xe9", "\xc3",
	"a\tb", "\t", "\v\f", "\u0085a\u2028", "\u00a0",
}

// oddTexts are fields that extend to the end of a line.
var oddTexts = []string{
	"a b", " a", "a ", "  ", "a  b", " a  b ", "a\n b", "a \rb", "a \r\r ", "a\ntail", "v\nQUERY x WRITE smuggled 1", "v\nBYE", "v\rQUERY x COMMIT",
	"v\nDONE x\nREADY I 1.1", "v\nERROR BUSY x\nREADY I 1.1", "v\nREADY I 1.1", "\nROW y",
}

// word returns a field in the middle of a line.
func word(r *rand.Rand, plain string, odd bool) string {
	if !odd || r.IntN(2) == 0 {
		return plain
	}
	return joined(r, plain, oddWords[r.IntN(len(oddWords))])
}

// text returns the last field of a line.
func text(r *rand.Rand, plain string, odd bool) string {
	if !odd || r.IntN(2) == 0 {
		return plain
	}
	if r.IntN(2) == 0 {
		return joined(r, plain, oddWords[r.IntN(len(oddWords))])
	}
	return joined(r, plain, oddTexts[r.IntN(len(oddTexts))])
}

// joined puts a plain text before or after an odd one. The plain text makes it unique.
func joined(r *rand.Rand, plain, odd string) string {
	if r.IntN(2) == 0 {
		return odd + plain
	}
	return plain + odd
}
