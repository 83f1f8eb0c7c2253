// ESLint rule that allows at most one export statement per module. The ESLint configuration exempts `index.ts`
// modules, which only re-export.
export const oneExport = {
  meta: {
    type: 'suggestion',
    messages: { many: 'A module must not have more than one export.' },
    schema: [],
  },
  create(context) {
    return {
      Program(node) {
        const exportStatements = node.body.filter(
          (statement) =>
            statement.type === 'ExportNamedDeclaration' ||
            statement.type === 'ExportDefaultDeclaration' ||
            statement.type === 'ExportAllDeclaration',
        );
        for (const extra of exportStatements.slice(1))
          context.report({ node: extra, messageId: 'many' });
      },
    };
  },
};
