package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

const unitBytes = "bytes"

// byteUnits are the suffixes of sizes. Longer ones come first, since each of them
// ends in "B".
var byteUnits = []struct {
	suffix string
	factor float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// convertScalar parses the text of a scalar. On failure, allowed describes the
// accepted values; on success it is empty.
func convertScalar(text string, target reflect.Type, unit string) (value any, allowed string) {
	if target == durationType {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return nil, "a duration with its unit, such as 500ms, 10s or 2m"
		}
		return duration, ""
	}
	switch target.Kind() {
	case reflect.String:
		return text, ""
	case reflect.Bool:
		return convertBool(text)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return nil, "a number, such as 0.5"
		}
		return number, ""
	case reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, "a whole number from 0 up"
		}
		return number, ""
	default:
		return convertInteger(text, target, unit)
	}
}

func convertBool(text string) (value any, allowed string) {
	switch text {
	case "true":
		return true, ""
	case "false":
		return false, ""
	default:
		return nil, "true or false"
	}
}

func convertInteger(text string, target reflect.Type, unit string) (value any, allowed string) {
	number, err := strconv.ParseInt(text, 10, 64)
	if unit == unitBytes {
		const allowedSizes = "a size in bytes, alone or with a unit, such as 4096, 512KiB or 4MiB"
		if err != nil {
			size, ok := parseSize(text)
			if !ok {
				return nil, allowedSizes
			}
			number = size
		}
	} else if err != nil {
		return nil, "a whole number"
	}
	if target.Kind() == reflect.Int {
		return int(number), ""
	}
	return number, ""
}

func parseSize(text string) (int64, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		bytes := number * unit.factor
		if err != nil || !(bytes >= 0 && bytes < math.MaxInt64) {
			return 0, false
		}
		return int64(bytes), true
	}
	return 0, false
}

// formatValue returns a value in the syntax of the settings file.
func formatValue(value any, unit string) string {
	switch typed := value.(type) {
	case time.Duration:
		return typed.String()
	case int64:
		if unit == unitBytes {
			return formatSize(typed)
		}
	case int:
		if unit == unitBytes {
			return formatSize(int64(typed))
		}
	case []string:
		return strings.Join(typed, ",")
	}
	return fmt.Sprint(value)
}

func formatSize(bytes int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		size, _ := parseSize("1" + unit)
		if bytes >= size && bytes%size == 0 {
			return fmt.Sprintf("%d%s", bytes/size, unit)
		}
	}
	return strconv.FormatInt(bytes, 10)
}
