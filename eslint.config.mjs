import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "no-constant-condition": ["error", { checkLoops: false }],
            curly: "error",
            eqeqeq: "error",
            "prefer-const": "error",
        },
    },
    {
        files: ["**/*.mjs"],
        languageOptions: { globals: { process: "readonly", console: "readonly", URL: "readonly" } },
    },
    {
        files: ["**/*.cjs"],
        languageOptions: {
            sourceType: "commonjs",
            globals: {
                process: "readonly",
                require: "readonly",
                module: "readonly",
                __dirname: "readonly",
                setTimeout: "readonly",
            },
        },
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    { files: ["**/test/**"], rules: { "@typescript-eslint/no-floating-promises": "off" } },
);
