package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// The platform starts the sidecar under a loader, with a library of its own: a program that an import or a flag has made
// static would not come up there. The build is the deploy file's own command, in a folder beside the tree.
func TestLinkedAgainstLibc(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform is Linux")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	build := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindStringSubmatch(string(text))
	if build == nil || !strings.Contains(build[1], "bin/") || !strings.Contains(string(text), `run = "exec bin/sidecar"`) {
		t.Fatalf("deploy file: build %q, or run is not one process by exec", build)
	}
	bin := t.TempDir()
	cmd := exec.Command("sh", "-c", strings.ReplaceAll(strings.ReplaceAll(build[1], "mkdir -p bin", "true"), "bin/", bin+"/"))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %v\n%s", cmd, err, out)
	}
	for _, program := range []string{"sidecar", "silvertrail"} {
		t.Run(program, func(t *testing.T) { checkLinkedAgainstLibc(t, filepath.Join(bin, program)) })
	}
}

func checkLinkedAgainstLibc(t *testing.T, path string) {
	t.Helper()
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("asks for the libraries %v (%v), not for libc", libraries, err)
	}
	if f.Section(".interp") == nil {
		t.Error("asks for no interpreter: it is linked statically")
	}
}
