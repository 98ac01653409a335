package load

import "tanagercross/internal/tool/ledger"

// Contents converts rows of ContentsSQL, read from the schema of an organisation in a group.
func Contents(group, organisation string, rows [][]string) []ledger.Content {
	contents := make([]ledger.Content, 0, len(rows))
	for _, row := range rows {
		count := 1
		if row[3] != "1" {
			count = 2 // any number above one is a doubled write
		}
		contents = append(contents, ledger.Content{
			Group: group, Organisation: organisation, Count: count,
			Tag: ledger.Tag{Organisation: row[0], Session: row[1], RequestID: row[2]},
		})
	}
	return contents
}
