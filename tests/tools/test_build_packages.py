"""The deploy file lists every package that a clean build and its run lines need."""

import pytest
from build_packages import (
    ROOT,
    UnknownPackageError,
    UnknownProgramError,
    check_packages,
    needed_packages,
    read_deploy_file,
    shell_commands,
)

BUILD_SCRIPT = (ROOT / "deploy/build.sh").read_text()


def test_every_program_that_is_called_has_its_package() -> None:
    assert check_packages(read_deploy_file(), BUILD_SCRIPT) == set()


@pytest.mark.parametrize("package", read_deploy_file().packages)
def test_an_omitted_package_is_detected(package: str) -> None:
    deploy = read_deploy_file()
    remaining = tuple(listed for listed in deploy.packages if listed != package)
    assert check_packages(deploy._replace(packages=remaining), BUILD_SCRIPT) == {package}


def test_an_unknown_package_is_rejected_with_the_known_ones() -> None:
    deploy = read_deploy_file()._replace(packages=("python3", "pyhton3-pip"))
    with pytest.raises(
        UnknownPackageError, match=r"unknown package 'pyhton3-pip', expected one of .*python3-pip"
    ):
        check_packages(deploy, BUILD_SCRIPT)


@pytest.mark.parametrize("line", ["gcc -c x.c", "rm -f x && make deps", "python3 -m build"])
def test_a_program_of_no_known_package_is_rejected_with_its_line(line: str) -> None:
    script = BUILD_SCRIPT + line + "\n"
    with pytest.raises(UnknownProgramError, match=line.rsplit("&& ", maxsplit=1)[-1]):
        check_packages(read_deploy_file(), script)


def test_the_script_is_read_as_its_shell_reads_it() -> None:
    script = (
        "set -eu\nif [ ! -f a ] || ! cmp -s a b; then\n  rm -rf c  # gone\nfi\ncp -R \\\n  d e\n"
    )
    assert shell_commands(script) == [
        ["cmp", "-s", "a", "b"],
        ["rm", "-rf", "c"],
        ["cp", "-R", "d", "e"],
    ]
    assert needed_packages(["python3", "-m", "pip"]) == (
        "python3",
        "python3-pip",
        "ca-certificates",
    )


def test_the_build_takes_wheels_only() -> None:
    installs = [words for words in shell_commands(BUILD_SCRIPT) if "install" in words]
    assert installs
    for words in installs:
        assert words[words.index("--only-binary") + 1] == ":all:"
        assert "--require-hashes" in words
