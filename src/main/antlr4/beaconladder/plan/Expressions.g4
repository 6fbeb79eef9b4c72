/** The form of the operators' file: lists in round brackets, words and quoted texts; see docs/operate/plan.md. */
grammar Expressions;

file : list* EOF ;
list : OPEN item* CLOSE ;
item : list | word | text ;
word : WORD ;
text : TEXT ;

OPEN : '(' ;
CLOSE : ')' ;
TEXT : '"' ~["\r\n]* '"' ;
WORD : ~[ \t\r\n()";]+ ;
COMMENT : ';' ~[\r\n]* -> skip ;
BLANK : [ \t\r\n]+ -> skip ;
