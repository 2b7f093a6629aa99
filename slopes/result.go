package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// result is one value of one benchmark at one size.
type result struct {
	// series is the package and the benchmark name without the size, such as "detector.Round".
	series string
	// variable is the quantity that size counts, such as "nodes".
	variable string
	size     float64
	unit     string
	value    float64
}

var (
	packagePattern = regexp.MustCompile(`^pkg: .*/(\w+)$`)
	// benchmarkPattern matches a result line. It captures the name without the number of processors, and the values with their units.
	benchmarkPattern = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.+)$`)
	sizePattern      = regexp.MustCompile(`^(\w+)=(\d+)$`)
)

// readResults reads benchmark output. It omits benchmarks whose last name element is not key=number. A failed package is an error, because
// its values would be missing from the tables without notice.
func readResults(in io.Reader) ([]result, error) {
	var results []result
	pkg := ""
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "FAIL") || strings.HasPrefix(line, "--- FAIL") {
			return nil, fmt.Errorf("benchmarks failed: %s", line)
		}
		if m := packagePattern.FindStringSubmatch(line); m != nil {
			pkg = m[1]
			continue
		}
		m := benchmarkPattern.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		found, err := parseValues(pkg, m[1], strings.Fields(m[2]))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", line, err)
		}
		results = append(results, found...)
	}
	return results, scanner.Err()
}

// parseValues returns the results in the fields of one line, or nil if the name has no size.
func parseValues(pkg, name string, fields []string) ([]result, error) {
	parts := strings.Split(name, "/")
	m := sizePattern.FindStringSubmatch(parts[len(parts)-1])
	if m == nil {
		return nil, nil
	}
	size, err := strconv.ParseFloat(m[2], 64)
	if err != nil {
		return nil, err
	}
	var results []result
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, err
		}
		results = append(results, result{
			series: pkg + "." + strings.Join(parts[:len(parts)-1], "/"), variable: m[1], size: size, unit: fields[i+1], value: value,
		})
	}
	return results, nil
}
