package database

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

// statement is a statement of a log entry; a nil argument is NULL.
type statement struct {
	SQL       string    `json:"sql"`
	Arguments []*string `json:"arguments,omitempty"`
}

// entry is one committed transaction. An entry without organisation starts a term.
type entry struct {
	Term         uint64      `json:"term"`
	Index        uint64      `json:"index"`
	Organisation string      `json:"organisation,omitempty"`
	Statements   []statement `json:"statements,omitempty"`
}

func (e entry) position() driver.Position { return driver.Position{Term: e.Term, Index: e.Index} }

const (
	frameHeader  = 8        // bytes: length and CRC-32C of the payload
	maximumFrame = 64 << 20 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// logFile holds the entries in memory and in a file. Entry i is at entries[i-1] and starts at offsets[i-1].
type logFile struct {
	file    *os.File
	sync    bool
	entries []entry
	offsets []int64
	size    int64
	torn    bool // the file ended in an incomplete or damaged entry when it was opened
}

// openLog reads the log and cuts off everything from the first damaged entry.
func openLog(path string, sync bool) (*logFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	l := &logFile{file: file, sync: sync}
	for {
		e, length, err := readFrame(file)
		if err == io.EOF {
			break
		}
		if err != nil || e.Index != uint64(len(l.entries))+1 {
			l.torn = true
			break
		}
		l.add(e, length)
	}
	if err := l.cut(); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

func readFrame(r io.Reader) (entry, int64, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return entry{}, 0, err
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length > maximumFrame {
		return entry{}, 0, eris.New("frame too long")
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return entry{}, 0, eris.Wrap(err, "frame")
	}
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return entry{}, 0, eris.New("checksum mismatch")
	}
	var e entry
	if err := json.Unmarshal(payload, &e); err != nil {
		return entry{}, 0, eris.Wrap(err, "entry")
	}
	return e, frameHeader + int64(length), nil
}

func (l *logFile) add(e entry, length int64) {
	l.entries = append(l.entries, e)
	l.offsets = append(l.offsets, l.size)
	l.size += length
}

// cut removes everything behind the last entry from the file.
func (l *logFile) cut() error {
	if err := l.file.Truncate(l.size); err != nil {
		return eris.Wrap(err, "truncate log")
	}
	_, err := l.file.Seek(l.size, io.SeekStart)
	return eris.Wrap(err, "seek log")
}

// append writes an entry. After a failed write the file is cut back to the last whole entry.
func (l *logFile) append(e entry) error {
	payload, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode entry")
	}
	frame := make([]byte, frameHeader, frameHeader+len(payload))
	binary.BigEndian.PutUint32(frame[:4], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	frame = append(frame, payload...)
	if _, err = l.file.Write(frame); err == nil && l.sync {
		err = l.file.Sync()
	}
	if err != nil {
		return eris.Wrapf(err, "append entry (cut: %v)", l.cut())
	}
	l.add(e, int64(len(frame)))
	return nil
}

// truncate removes all entries behind index.
func (l *logFile) truncate(index uint64) error {
	if index >= uint64(len(l.entries)) {
		return nil
	}
	l.size = l.offsets[index]
	l.entries = l.entries[:index:index]
	l.offsets = l.offsets[:index:index]
	return l.cut()
}

// last returns the position of the last entry, zero for an empty log.
func (l *logFile) last() driver.Position {
	if len(l.entries) == 0 {
		return driver.Position{}
	}
	return l.entries[len(l.entries)-1].position()
}

// term returns the term of the entry at index, and whether the log has it. Index 0 is before the first entry.
func (l *logFile) term(index uint64) (uint64, bool) {
	if index == 0 {
		return 0, true
	}
	if index > uint64(len(l.entries)) {
		return 0, false
	}
	return l.entries[index-1].Term, true
}
