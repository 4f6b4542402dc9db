#ifndef KNAPWEEDCROFT_TEST_PROCESS_TEST_PROCESS_HPP
#define KNAPWEEDCROFT_TEST_PROCESS_TEST_PROCESS_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace knapweedcroft {

/** @brief Temporary folder of a test, removed with its content on destruction. */
class test_folder {
public:
    test_folder();
    test_folder(const test_folder&) = delete;
    test_folder& operator=(const test_folder&) = delete;
    ~test_folder();

    /** @brief Returns the path of a file in the folder. */
    [[nodiscard]] std::string path(const std::string& name) const { return m_path + "/" + name; }

    /** @brief Writes a file and returns its path. */
    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const;

private:
    std::string m_path;
};

/** @brief Child process that runs a program of the project; its output streams go to files. */
class test_process {
public:
    /**
     * @brief Starts a program.
     * @param folder Folder of the output files; must outlive the process.
     * @param name Name of the output files, without extension.
     * @param program Name of the program in `build/bin`.
     */
    test_process(const test_folder& folder, const std::string& name, const std::string& program,
        const std::vector<std::string>& arguments);
    test_process(const test_process&) = delete;
    test_process& operator=(const test_process&) = delete;

    /** @brief Kills the process if it is still running. */
    ~test_process();

    /** @brief Sends a signal to the process unless it has exited. */
    void signal(int number);

    /** @brief Returns whether the process has exited. */
    [[nodiscard]] bool hasEnded();

    /** @brief Returns the exit status once hasEnded() has returned true; -1 if a signal ended the process. */
    [[nodiscard]] int exitStatus() const noexcept { return m_exitStatus; }

    /** @brief Returns the resident memory of the process in bytes; 0 if it has ended. */
    [[nodiscard]] std::size_t residentBytes() const;

    /** @brief Returns the content of standard output. */
    [[nodiscard]] std::string output() const;

    /** @brief Returns the content of standard error. */
    [[nodiscard]] std::string errors() const;

    /** @brief Returns the ready line on standard output, if printed. */
    [[nodiscard]] std::optional<nlohmann::json> readyLine() const;

    /** @brief Returns the last complete line on standard output as JSON; null if it is not an object. */
    [[nodiscard]] nlohmann::json lastLine() const;

private:
    std::string m_output;
    std::string m_errors;
    pid_t m_pid = -1;
    bool m_hasEnded = false;
    int m_exitStatus = -1;
};

} // namespace knapweedcroft

#endif
