package appender

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Unknown is the value of a record that this version cannot decode. Readers skip it.
type Unknown struct {
	// Kind is empty if Data is not a valid envelope.
	Kind string
	Data []byte
}

// envelopeWire is the encoding of a record in the log. Value holds the fields of the modeler type that Kind names. The tests of
// this package fix the encoding of each kind, because later versions must be able to read the records.
type envelopeWire struct {
	Kind  string
	Value json.RawMessage
}

// pageWire is the encoding of the log's response to a read.
type pageWire struct {
	First   int64
	Next    int64
	Records []struct {
		Offset int64
		Time   time.Time
		Data   []byte
	}
}

func (p pageWire) page() Page {
	records := make([]modeler.Record, 0, len(p.Records))
	for _, r := range p.Records {
		records = append(records, modeler.Record{Offset: r.Offset, Time: r.Time, Value: decode(r.Data)})
	}
	return Page{First: p.First, Next: p.Next, Records: records}
}

// decoders has one entry for each record type, under the name of the type.
var decoders = map[string]func(data []byte) (any, error){
	"RulesPublished": decodeAs[modeler.RulesPublished],
	"NodeRegistered": decodeAs[modeler.NodeRegistered],
	"NodeDeparted":   decodeAs[modeler.NodeDeparted],
	"NodeReclaim":    decodeAs[modeler.NodeReclaim],
	"Minted":         decodeAs[modeler.Minted],
	"HoldClaimed":    decodeAs[modeler.HoldClaimed],
	"HoldReleased":   decodeAs[modeler.HoldReleased],
	"CallIntent":     decodeAs[modeler.CallIntent],
	"CallAborted":    decodeAs[modeler.CallAborted],
	"CallFinished":   decodeAs[modeler.CallFinished],
}

func decodeAs[T any](data []byte) (any, error) {
	var value T
	err := json.Unmarshal(data, &value)
	return value, err
}

func encode(record any) ([]byte, error) {
	if record == nil {
		return nil, fmt.Errorf("record is missing")
	}
	kind := reflect.TypeOf(record).Name()
	if _, ok := decoders[kind]; !ok {
		return nil, fmt.Errorf("type %T is not a record type", record)
	}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", kind, err)
	}
	return json.Marshal(envelopeWire{Kind: kind, Value: value})
}

func decode(data []byte) any {
	var envelope envelopeWire
	if err := json.Unmarshal(data, &envelope); err != nil {
		return Unknown{Data: data}
	}
	decoder, ok := decoders[envelope.Kind]
	if !ok {
		return Unknown{Kind: envelope.Kind, Data: data}
	}
	value, err := decoder(envelope.Value)
	if err != nil {
		return Unknown{Kind: envelope.Kind, Data: data}
	}
	return value
}
