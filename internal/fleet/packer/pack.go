package packer

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// maxStateBytes bounds an unpacked state. The store takes at most 2 MiB in one call.
	maxStateBytes = 32 << 20
	// windowBytes is the distance up to which repeated content is found, the base included. It is twice the size of a configuration of 5,000 routes.
	windowBytes = 2 << 20
	// dictionaryID names the base to the codec. There is only one for each state.
	dictionaryID = 1
)

// Numbers of the fields of a record. A record without a value is not part of a state.
const (
	fieldKey protowire.Number = iota + 1
	fieldValue
	fieldOffset
)

// encodeRecords encodes records one after the other, each with its length before it. It encodes the records of a base in the same way, so that equal
// records are equal bytes.
func encodeRecords(records []modeler.Record) []byte {
	var encoded, record []byte
	for _, r := range records {
		record = protowire.AppendString(protowire.AppendTag(record[:0], fieldKey, protowire.BytesType), r.Key)
		record = protowire.AppendVarint(protowire.AppendTag(record, fieldOffset, protowire.VarintType), uint64(r.Offset))
		record = protowire.AppendBytes(protowire.AppendTag(record, fieldValue, protowire.BytesType), r.Value)
		encoded = protowire.AppendBytes(encoded, record)
	}
	return encoded
}

func decodeRecords(encoded []byte) ([]modeler.Record, error) {
	var records []modeler.Record
	for len(encoded) > 0 {
		content, n := protowire.ConsumeBytes(encoded)
		if n < 0 {
			return nil, fmt.Errorf("decode records: %w", protowire.ParseError(n))
		}
		encoded = encoded[n:]
		record, err := decodeRecord(content)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeRecord(content []byte) (modeler.Record, error) {
	record := modeler.Record{Value: []byte{}}
	for len(content) > 0 {
		number, kind, n := protowire.ConsumeTag(content)
		if n < 0 {
			return record, fmt.Errorf("decode record: %w", protowire.ParseError(n))
		}
		content = content[n:]
		switch {
		case number == fieldKey && kind == protowire.BytesType:
			record.Key, n = protowire.ConsumeString(content)
		case number == fieldValue && kind == protowire.BytesType:
			record.Value, n = protowire.ConsumeBytes(content)
		case number == fieldOffset && kind == protowire.VarintType:
			var offset uint64
			offset, n = protowire.ConsumeVarint(content)
			record.Offset = modeler.Position(offset)
		default:
			n = protowire.ConsumeFieldValue(number, kind, content)
		}
		if n < 0 {
			return record, fmt.Errorf("decode record: %w", protowire.ParseError(n))
		}
		content = content[n:]
	}
	return record, nil
}

// pack compresses a state. Content that base has, too, takes next to no room.
func pack(state, base modeler.OperatorState) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes),
	}
	if base.ID != 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, encodeRecords(base.Records)))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create encoder: %w", err)
	}
	packed := encoder.EncodeAll(encodeRecords(state.Records), nil)
	return packed, encoder.Close()
}

// unpack restores a state that was packed against base. It returns an error if the result is not the state with the given ID.
func unpack(packed []byte, base modeler.OperatorState, id modeler.StateID, next modeler.Position) (modeler.OperatorState, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxStateBytes)}
	if base.ID != 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, encodeRecords(base.Records)))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return modeler.OperatorState{}, fmt.Errorf("create decoder: %w", err)
	}
	defer decoder.Close()
	encoded, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return modeler.OperatorState{}, fmt.Errorf("decompress state: %w", err)
	}
	records, err := decodeRecords(encoded)
	if err != nil {
		return modeler.OperatorState{}, err
	}
	state := modeler.NewOperatorState(records, next)
	if state.ID != id {
		return modeler.OperatorState{}, errors.New("unpacked state differs from the one that was sent")
	}
	return state, nil
}
