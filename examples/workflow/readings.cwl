# Reads some meters one by one, adds up what they show, and writes a bill if there
# is anything to pay.
cwlVersion: v1.2
class: Workflow
requirements:
  InlineJavascriptRequirement: {}
  ScatterFeatureRequirement: {}
inputs:
  photos: File[]
  price: int
outputs:
  total: {type: int, outputSource: add/total}
  bill: {type: "File?", outputSource: write/bill}
steps:
  read:
    in: {photo: photos}
    scatter: photo
    out: [shown]
    run:
      class: CommandLineTool
      baseCommand: [grep, -o, "[0-9]*"]
      inputs: {photo: {type: File, inputBinding: {}}}
      stdout: shown.txt
      outputs:
        shown:
          type: int
          outputBinding: {glob: shown.txt, loadContents: true, outputEval: "$(parseInt(self[0].contents))"}
  add:
    in: {shown: read/shown, price: price}
    out: [total]
    run:
      class: ExpressionTool
      inputs: {shown: "int[]", price: int}
      outputs: {total: int}
      expression: "$({total: inputs.price * inputs.shown.reduce(function(a, b) { return a + b; }, 0)})"
  write:
    when: $(inputs.total > 0)
    in: {total: add/total}
    out: [bill]
    run:
      class: CommandLineTool
      baseCommand: [echo, to pay]
      inputs: {total: {type: int, inputBinding: {}}}
      stdout: bill.txt
      outputs: {bill: stdout}
