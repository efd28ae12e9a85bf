// Package golden compares what a test got with files under its testdata folder.
package golden

import (
	"os"
	"path/filepath"

	"github.com/onsi/gomega"
)

// updateVariable makes Check write the files instead of comparing.
const updateVariable = "CAIRNBAY_UPDATE_GOLDEN"

// Check fails the running gomega test unless got equals testdata/name.golden.
func Check(name string, got []byte) {
	check(filepath.Join("testdata", name+".golden"), got)
}

// CheckFile is Check for a file of any path, such as a page made from code.
func CheckFile(path string, got []byte) {
	check(path, got)
}

func check(path string, got []byte) {
	if os.Getenv(updateVariable) != "" {
		write(path, got)
		return
	}
	want, err := os.ReadFile(path)
	gomega.ExpectWithOffset(2, err).NotTo(gomega.HaveOccurred())
	gomega.ExpectWithOffset(2, string(got)).To(gomega.Equal(string(want)), "golden file %s", path)
}

func write(path string, content []byte) {
	err := os.MkdirAll(filepath.Dir(path), 0o755)
	gomega.ExpectWithOffset(3, err).NotTo(gomega.HaveOccurred())
	err = os.WriteFile(path, content, 0o644)
	gomega.ExpectWithOffset(2, err).NotTo(gomega.HaveOccurred())
}
