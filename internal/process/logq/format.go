package logq

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

// Formatter writes entries as JSON objects with sorted keys, like logrus.JSONFormatter
// does, without reflection for the usual types of values. An owner logs two lines for
// each task.
type Formatter struct {
	// TimestampFormat is that of time.Time.Format.
	TimestampFormat string
}

var _ logrus.Formatter = (*Formatter)(nil)

// keyPool holds slices for the sorted keys of an entry.
var keyPool = sync.Pool{New: func() any { return new([]string) }}

// Format implements logrus.Formatter. Errors: those of json.Marshal for a value that
// has no JSON form.
func (f *Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	pooled := keyPool.Get().(*[]string)
	defer keyPool.Put(pooled)
	keys := (*pooled)[:0]
	keys = append(keys, "level", "msg", "time")
	for key := range entry.Data {
		if key != "level" && key != "msg" && key != "time" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	*pooled = keys
	line := make([]byte, 0, 256)
	for i, key := range keys {
		line = append(line, "{,"[min(i, 1)])
		line = appendString(line, key)
		line = append(line, ':')
		var err error
		switch key {
		case "level":
			line = appendString(line, entry.Level.String())
		case "msg":
			line = appendString(line, entry.Message)
		case "time":
			line = append(line, '"')
			line = entry.Time.AppendFormat(line, f.TimestampFormat)
			line = append(line, '"')
		default:
			line, err = appendValue(line, entry.Data[key])
		}
		if err != nil {
			return nil, err
		}
	}
	return append(line, '}', '\n'), nil
}

func appendValue(line []byte, value any) ([]byte, error) {
	switch typed := value.(type) {
	case string:
		return appendString(line, typed), nil
	case error:
		return appendString(line, typed.Error()), nil
	case bool:
		return strconv.AppendBool(line, typed), nil
	case int:
		return strconv.AppendInt(line, int64(typed), 10), nil
	case int64:
		return strconv.AppendInt(line, typed, 10), nil
	case uint64:
		return strconv.AppendUint(line, typed, 10), nil
	default:
		text, err := json.Marshal(value)
		return append(line, text...), err
	}
}

// appendString appends a JSON string. Control characters, quotes and everything that
// is not ASCII take the way over json.Marshal.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			// A string always has a JSON form.
			quoted, _ := json.Marshal(text)
			return append(line, quoted...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
