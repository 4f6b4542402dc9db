#include "knapweedcroft/process/test_process.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedcroft {

namespace internal {

[[nodiscard]] static std::string readFile(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    return { std::istreambuf_iterator<char> { file }, std::istreambuf_iterator<char> {} };
}

[[nodiscard]] static std::vector<std::string> splitCompleteLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::size_t start = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        lines.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return lines;
}

[[nodiscard]] static nlohmann::json parseLine(const std::string& line)
{
    const nlohmann::json document = nlohmann::json::parse(line, nullptr, false);
    return document.is_object() ? document : nlohmann::json {};
}

} // namespace internal

test_folder::test_folder()
{
    std::string path = testing::TempDir() + "/knapweed-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error { "cannot create a temporary folder, check the permissions of " + testing::TempDir() };
    m_path = path;
}

test_folder::~test_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string test_folder::write(const std::string& name, const std::string& text) const
{
    std::ofstream { path(name), std::ios::binary } << text;
    return path(name);
}

test_process::test_process(const test_folder& folder, const std::string& name, const std::string& program,
    const std::vector<std::string>& arguments)
    : m_output { folder.path(name + ".out") }
    , m_errors { folder.path(name + ".err") }
{
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
    constexpr mode_t mode = 0600;
    constexpr int firstUnsharedFd = 3;
    const std::string path = std::string { KNAPWEEDCROFT_BINARY_DIRECTORY } + "/" + program;
    std::vector<std::string> copies { program };
    copies.insert(copies.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (std::string& text : copies)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_output.c_str(), flags, mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, m_errors.c_str(), flags, mode);
    // Otherwise sockets that the child inherits would stay open after the test closes them.
    posix_spawn_file_actions_addclosefrom_np(&actions, firstUnsharedFd);
    // A stopped process is ended by SIGHUP when the shell that started the tests exits, unless it has a group of its
    // own whose parent lives.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    posix_spawnattr_setpgroup(&attributes, 0);
    const int code = posix_spawn(&m_pid, path.c_str(), &actions, &attributes, pointers.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (code != 0)
        throw std::runtime_error { "cannot start " + path + "; build it first" };
}

test_process::~test_process()
{
    signal(SIGKILL);
    if (!m_hasEnded)
        waitpid(m_pid, nullptr, 0);
}

void test_process::signal(int number)
{
    if (!hasEnded())
        kill(m_pid, number);
}

bool test_process::hasEnded()
{
    if (m_hasEnded)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_hasEnded = true;
    m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

std::size_t test_process::residentBytes() const
{
    // The second field of the file is the number of resident pages.
    std::ifstream file { "/proc/" + std::to_string(m_pid) + "/statm" };
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string test_process::output() const { return internal::readFile(m_output); }

std::string test_process::errors() const { return internal::readFile(m_errors); }

std::optional<nlohmann::json> test_process::readyLine() const
{
    for (const std::string& line : internal::splitCompleteLines(output())) {
        nlohmann::json document = internal::parseLine(line);
        if (document.is_object() && document.value("ready", false))
            return document;
    }
    return std::nullopt;
}

nlohmann::json test_process::lastLine() const
{
    const std::vector<std::string> lines = internal::splitCompleteLines(output());
    return lines.empty() ? nlohmann::json {} : internal::parseLine(lines.back());
}

} // namespace knapweedcroft
