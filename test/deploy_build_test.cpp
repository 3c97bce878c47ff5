#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

// The build command of the platform's deploy file.
std::string build_command()
{
    std::ifstream file(std::string(VERBENA_SOURCE_DIR) + "/deploy/system.toml");
    const std::string prefix = "build = \"";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix)) {
            return line.substr(prefix.size(), line.rfind('"') - prefix.size());
        }
    }
    return {};
}

void write_tool(const std::filesystem::path& path, const std::string& script)
{
    std::ofstream(path) << "#!/bin/sh\n" << script << '\n';
    std::filesystem::permissions(path, std::filesystem::perms::owner_all);
}

struct checkout {
    std::filesystem::path root;

    checkout()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "verbena-build-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        root = pattern;
        std::filesystem::create_directories(root / "tools");
        std::filesystem::create_directories(root / "target");
        std::ofstream(program()) << "of an earlier commit";
    }
    checkout(const checkout&) = delete;
    checkout& operator=(const checkout&) = delete;
    ~checkout() { std::filesystem::remove_all(root); }

    std::filesystem::path program() const { return root / "target/verbenaproxy"; }

    int build() const
    {
        const std::string command = "cd " + root.string() + " && PATH=" + (root / "tools").string() +
                                    ":$PATH && " + build_command() + " >/dev/null 2>&1";
        return std::system(command.c_str());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(deploy_build)

// Guards against a build that fails and leaves the program of an earlier commit in its place.
BOOST_FIXTURE_TEST_CASE(a_failed_build_leaves_no_program, checkout)
{
    for (const char* script : {"exit 1", "[ \"$1\" != --build ]"}) {
        std::ofstream(program()) << "of an earlier commit";
        write_tool(root / "tools/cmake", script);
        BOOST_TEST(build() != 0);
        BOOST_TEST(!std::filesystem::exists(program()));
    }
}

// Guards against a build folder that came with a copy of the checkout, or from a machine of another kind,
// whose settings are kept.
BOOST_FIXTURE_TEST_CASE(the_build_keeps_no_settings_of_an_earlier_one, checkout)
{
    write_tool(root / "tools/cmake", "echo \"$@\" >> calls");
    BOOST_TEST(build() == 0);
    std::ifstream calls(root / "calls");
    const std::string text((std::istreambuf_iterator<char>(calls)), std::istreambuf_iterator<char>());
    BOOST_TEST(text.find("--fresh") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
