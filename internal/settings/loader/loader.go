package loader

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"damaskpick.example/damaskpick/internal/findings/collector"
)

// Load reads and checks the settings file at path. Errors in its content are returned as a collector.FindingsError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks settings written in JSON with comments and trailing commas, and fills in the defaults that fields of Settings
// document. Field names are matched exactly. All errors are reported together in a collector.FindingsError that uses name
// as the name of the file. Parse does not open files that the settings name.
func Parse(name string, data []byte) (Settings, error) {
	findings := collector.New(name, data)
	root, err := hujson.Parse(data)
	if err != nil {
		findings.Add(syntaxOffset(data, err), "", "%s", syntaxReason(err))
		return Settings{}, findings.Err()
	}
	var s Settings
	d := &decoder{findings: findings, offsets: map[string]int{}, undecoded: map[string]bool{}}
	d.decode("", root, reflect.ValueOf(&s).Elem())
	c := &checker{decoder: d, settings: s.withDefaults()}
	c.check()
	if err := findings.Err(); err != nil {
		return Settings{}, err
	}
	return c.settings, nil
}

// syntaxError matches the errors of hujson.Parse, which contain their position only in the text. The column counts bytes.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxOffset(data []byte, err error) int {
	match := syntaxError.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	offset := column - 1
	for i, c := range data {
		if line == 1 {
			return offset + i
		}
		if c == '\n' {
			line--
		}
	}
	return len(data)
}

func syntaxReason(err error) string {
	if match := syntaxError.FindStringSubmatch(err.Error()); match != nil {
		return "not valid JSON: " + match[3]
	}
	return err.Error()
}
