package configurer_test

import (
	"encoding"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// examples is the glob pattern of the published settings files.
const examples = "../../../examples/*/*.jsonc"

var _ = Describe("Parse", func() {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		panic("configurer: no testdata")
	}
	for _, f := range files {
		It("names the file, line, column and field of each problem in "+f, func() {
			_, err := configurer.Load(f)
			Expect(err).To(HaveOccurred())
			golden := strings.TrimSuffix(f, ".jsonc") + ".golden"
			if *update {
				Expect(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644)).To(Succeed())
			}
			Expect(os.ReadFile(golden)).To(BeEquivalentTo(err.Error() + "\n"))
		})
	}

	It("accepts the published examples", func() {
		files, err := filepath.Glob(examples)
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(11))
		for _, f := range files {
			_, err := configurer.Load(f)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("refuses a file that is too large or does not exist", func() {
		_, err := configurer.Parse("big", make([]byte, configurer.MaxFileBytes+1))
		Expect(err).To(MatchError("big: larger than 256KiB"))
		_, err = configurer.Load("testdata/none")
		Expect(err).To(MatchError("testdata/none: can't be read: no such file or directory"))
	})
})

var _ = Describe("Settings", func() {
	It("have only defaults that pass Check", func() {
		problems := (configurer.Settings{Roles: []configurer.Role{
			configurer.RoleEntry, configurer.RoleCompanion, configurer.RoleControl,
		}}).Check()
		for _, p := range problems {
			Expect(p.Message).To(Or(Equal("required"), HavePrefix("no host in ControlHosts")), p.Path)
		}
	})

	It("have a row with the default of each field in docs/SETTINGS.md", func() {
		page, err := os.ReadFile("../../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, row := range tableRows("", reflect.ValueOf(configurer.Settings{}.WithDefaults())) {
			Expect(string(page)).To(ContainSubstring("\n" + row))
		}
	})
})

// tableRows returns the beginnings of the expected rows in docs/SETTINGS.md for the
// fields of v.
func tableRows(path string, v reflect.Value) []string {
	var found []string
	for i := range v.NumField() {
		name, f := path+v.Type().Field(i).Name, v.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			found = append(found, tableRows(name+".", f)...)
		case f.Type() == reflect.TypeFor[[]configurer.ControlHost]():
			found = append(found, tableRows(name+"[].", reflect.New(f.Type().Elem()).Elem())...)
		default:
			text, err := json.Marshal(f.Interface())
			Expect(err).NotTo(HaveOccurred())
			value := "`" + strings.Trim(string(text), `"`) + "`"
			if _, named := f.Interface().(encoding.TextMarshaler); f.IsZero() && !named && f.Kind() != reflect.Bool {
				value = ""
			}
			found = append(found, "| `"+name+"` | "+value)
		}
	}
	return found
}

var _ = DescribeTable("Check allows companion settings to omit the address of the backend server",
	func(m configurer.CompanionSettings, faults ...string) {
		m.Listen = "10.0.0.1:7500"
		s := configurer.Settings{
			Node: "a", Region: "r", FailureDomain: "d", Companion: m,
			Roles:        []configurer.Role{configurer.RoleCompanion},
			ControlHosts: []configurer.ControlHost{{ID: 1, Address: "10.0.0.1:7400", FailureDomain: "d", Region: "r"}},
			Operators:    configurer.OperatorsSettings{Listen: "127.0.0.1:9400"},
		}
		paths := []string{}
		for _, p := range s.Check() {
			paths = append(paths, p.Path)
		}
		Expect(paths).To(Equal(faults))
	},
	Entry("an engine", configurer.CompanionSettings{}),
	Entry("a service", configurer.CompanionSettings{Kind: configurer.BackendKindService}),
	Entry("a service with an invalid name",
		configurer.CompanionSettings{Kind: configurer.BackendKindService, ServiceName: "a b"}, "Companion.ServiceName"),
	Entry("an engine with only an address",
		configurer.CompanionSettings{EngineAddress: "127.0.0.1:8000"}, "Companion.BaseModel"),
	Entry("an engine with the address of a service", configurer.CompanionSettings{ServiceAddress: "127.0.0.1:8000"},
		"Companion.EngineAddress", "Companion.BaseModel"),
	Entry("a service with the address of an engine", configurer.CompanionSettings{
		Kind: configurer.BackendKindService, EngineAddress: "127.0.0.1:8000",
	}, "Companion.ServiceAddress", "Companion.ServiceName"),
)

// FuzzParse checks that for any input Parse returns either settings that pass Check or an
// *Error with a limited number of lines, each of which starts with the file name.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{examples, "testdata/*.jsonc"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, n := range files {
			data, err := os.ReadFile(n)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := configurer.Parse("file", data)
		if err == nil {
			if problems := s.Check(); problems != nil {
				t.Fatal("accepted settings that Check refuses:", problems)
			}
			return
		}
		lines := strings.Split(err.Error(), "\n")
		if len(lines) > configurer.MaxProblems+1 {
			t.Fatal("error has too many lines:", len(lines))
		}
		for _, l := range lines {
			if !strings.HasPrefix(l, "file:") {
				t.Fatalf("line does not start with the file name: %q", l)
			}
		}
	})
}

// TestPropertyRoundTrip checks that settings encoded as JSON are equal after parsing.
func TestPropertyRoundTrip(t *testing.T) {
	base, err := configurer.Load("../../../examples/peachtree/entry-a.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := base
		s.Node = rapid.StringMatching(`[a-zA-Z0-9._-]{1,63}`).Draw(t, "Node")
		s.Control.PermitExpiry = configurer.Duration(rapid.Int64Range(1e9, 3600e9).Draw(t, "PermitExpiry"))
		s.Control.StoreRate = rapid.Float64Range(0.001, 10000).Draw(t, "StoreRate")
		s.Entry.MaxBodyBytes = configurer.Size(rapid.Int64Range(1<<10, 1<<30).Draw(t, "MaxBodyBytes"))
		s.Entry.MaxHeaderBytes = configurer.KiB * configurer.Size(rapid.IntRange(1, 1<<14).Draw(t, "KiB"))
		s.Entry.Policy = configurer.Policy(rapid.IntRange(0, 3).Draw(t, "Policy"))
		s.Entry.PromptCache = configurer.PromptCache(rapid.IntRange(0, 3).Draw(t, "PromptCache"))
		s.Log.Level = configurer.LogLevel(rapid.IntRange(0, 3).Draw(t, "Level"))
		s.Log.Format = configurer.LogFormat(rapid.IntRange(0, 1).Draw(t, "Format"))
		written := struct {
			configurer.Settings
			Companion *configurer.CompanionSettings `json:",omitempty"`
		}{Settings: s}
		data, err := json.Marshal(written)
		if err != nil {
			t.Fatal(err)
		}
		read, err := configurer.Parse("file", data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, s) {
			t.Fatalf("wrote %+v\nread  %+v", s, read)
		}
	})
}
