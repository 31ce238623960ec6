package streamversions

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"

	"flamingospar.org/core/streamversion"
)

// Limits of a segment, whose row may have 64 KB.
const (
	maxSegmentStreams  = 3000
	maxSegmentVersions = 100
	// maxSegmentWrites is how often a segment is written, each time with what has come
	// since, before the next one is begun.
	maxSegmentWrites = 10
)

// streamBytes is the size of an encoded stream: its ID, and the number of its version.
const streamBytes = 9

var errSegment = errors.New("the streams of a segment don't match its versions; remedy: none, another writer has written it")

// segment is a number of streams that one process began.
type segment struct {
	writtenMS int64 // By the store's clock.
	streams   map[streamversion.StreamID]ServiceVersion
}

// segmentRow is the value of a row.
type segmentRow struct {
	WrittenMS int64    `json:"written_ms"`
	Versions  []string `json:"versions"`
	// Services holds the service of each entry of Versions. Processes of an earlier release
	// write none.
	Services []string `json:"services,omitempty"`
	Streams  []byte   `json:"streams"`
}

func (s segment) encode() ([]byte, error) {
	row := segmentRow{WrittenMS: s.writtenMS}
	indexes := make(map[ServiceVersion]int)
	for id, begun := range s.streams {
		index, ok := indexes[begun]
		if !ok {
			index = len(row.Versions)
			indexes[begun] = index
			row.Versions, row.Services = append(row.Versions, begun.Version), append(row.Services, begun.Service)
		}
		if index >= maxSegmentVersions {
			continue // Streams of that many versions are not known to other processes.
		}
		row.Streams = binary.BigEndian.AppendUint64(row.Streams, uint64(id))
		row.Streams = append(row.Streams, byte(index))
	}
	entries := min(len(row.Versions), maxSegmentVersions)
	row.Versions, row.Services = row.Versions[:entries], row.Services[:entries]
	return json.Marshal(row)
}

func decodeSegment(value []byte) (segment, error) {
	var row segmentRow
	if err := json.Unmarshal(value, &row); err != nil {
		return segment{}, err
	}
	decoded := segment{writtenMS: row.WrittenMS, streams: make(map[streamversion.StreamID]ServiceVersion, len(row.Streams)/streamBytes)}
	for stream := range slices.Chunk(row.Streams, streamBytes) {
		if len(stream) != streamBytes || int(stream[streamBytes-1]) >= len(row.Versions) {
			return segment{}, errSegment
		}
		index := stream[streamBytes-1]
		begun := ServiceVersion{Version: row.Versions[index]}
		if len(row.Services) == len(row.Versions) {
			begun.Service = row.Services[index]
		}
		decoded.streams[streamversion.StreamID(binary.BigEndian.Uint64(stream))] = begun
	}
	return decoded, nil
}
